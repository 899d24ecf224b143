package org.pollenhoist.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.configuration.Upstream;
import org.pollenhoist.platform.PlatformService;
import org.pollenhoist.platform.StoredValue;
import org.pollenhoist.platform.WriteOutcome;
import org.pollenhoist.upstream.EngineReport;

/**
 * The ledgers that this process has taken over. Taking a ledger over rewrites it, so that no write that an earlier
 * acting process has begun can succeed afterwards. Used by one thread.
 */
final class LedgerTable {

    private static final DecisionLog LOG = DecisionLog.of("placement");

    private final PlatformService platform;
    private final String process;
    private final Duration lateCopyWindow;
    private final Map<UpstreamName, Entry> entries = new HashMap<>();
    private long term;
    private long changes;

    LedgerTable(PlatformService platform, String process, Duration lateCopyWindow) {
        this.platform = platform;
        this.process = process;
        this.lateCopyWindow = lateCopyWindow;
    }

    private static final class Entry {
        private long version;
        private UpstreamLedger stored;
        private UpstreamLedger current;
        private final Map<String, MonotonicTime> settledSince = new HashMap<>();
    }

    /** Gives up all ledgers; they are taken over again before the next decision. */
    void forgetAll() {
        entries.clear();
        term++;
    }

    boolean isTaken(UpstreamName upstream) {
        return entries.containsKey(upstream);
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    long version(UpstreamName upstream) {
        return entries.get(upstream).version;
    }

    UpstreamLedger ledger(UpstreamName upstream) {
        return entries.get(upstream).current;
    }

    String nextChange() {
        changes++;
        return process + "-" + changes;
    }

    /** Takes a ledger over; it stays untaken where the platform gives no answer. */
    void takeOver(Upstream upstream) {
        String key = LedgerCodec.key(upstream.name());
        try {
            Optional<StoredValue> value = platform.read(key);
            UpstreamLedger ledger = value.map(stored -> LedgerCodec.decode(key, stored.content()))
                    .orElseGet(() -> UpstreamLedger.empty(upstream.name(), upstream.memoryBytes()))
                    .withCapacity(upstream.memoryBytes());
            Entry entry = new Entry();
            entry.version = value.map(StoredValue::version).orElse(0L);
            if (write(entry, ledger)) {
                entries.put(upstream.name(), entry);
            }
        } catch (PollenhoistException exception) {
            LOG.event("ledger_unread", "upstream", upstream.name(), "reason", exception.getMessage());
        }
    }

    /**
     * Takes in a report that was asked for after the ledger was taken over or written.
     *
     * @return false where the report is older than one taken in before
     */
    boolean apply(Upstream upstream, EngineReport report, MonotonicTime now) {
        Entry entry = entries.get(upstream.name());
        Set<String> expired = new HashSet<>();
        entry.settledSince.forEach((order, since) -> {
            if (now.since(since).compareTo(lateCopyWindow) >= 0) {
                expired.add(order);
            }
        });
        if (entry.current.isNewerThan(report)) {
            return false;
        }
        entry.current = entry.current.afterReport(report, upstream.refusesOldFencing(), expired);
        Set<String> settled = new HashSet<>();
        for (LedgerOrder order : entry.current.orders()) {
            if (!order.isOpen()) {
                settled.add(order.order().identifier());
                entry.settledSince.putIfAbsent(order.order().identifier(), now);
            }
        }
        entry.settledSince.keySet().retainAll(settled);
        return true;
    }

    /**
     * Writes a ledger where it differs from the stored one by more than the report's sequence.
     *
     * @return whether the stored ledger now contains all orders of the given one
     */
    boolean writeIfChanged(UpstreamName upstream, UpstreamLedger ledger) {
        Entry entry = entries.get(upstream);
        if (entry.stored.hasSameContent(ledger)) {
            entry.current = ledger;
            return true;
        }
        try {
            if (write(entry, ledger)) {
                return true;
            }
            LOG.event("ledger_taken_by_other", "upstream", upstream, "process", process, "reason", "version_conflict");
            forgetAll();
            return false;
        } catch (PollenhoistException exception) {
            LOG.event("ledger_unwritten", "upstream", upstream, "reason", exception.getMessage());
            entries.remove(upstream);
            return false;
        }
    }

    private boolean write(Entry entry, UpstreamLedger ledger) {
        UpstreamLedger written = ledger.writtenBy(process + "/" + term, nextChange());
        String key = LedgerCodec.key(ledger.upstream());
        byte[] content = LedgerCodec.encode(written);
        WriteOutcome outcome = platform.compareAndSwap(key, entry.version, content, Optional.empty());
        Optional<Long> version = switch (outcome) {
            case WriteOutcome.Written success -> Optional.of(success.version());
            case WriteOutcome.Conflict conflict -> Optional.empty();
            case WriteOutcome.Unknown unknown -> readBack(key, written.change());
        };
        version.ifPresent(number -> {
            entry.version = number;
            entry.stored = written;
            entry.current = written;
        });
        return version.isPresent();
    }

    private Optional<Long> readBack(String key, String change) {
        return platform.read(key)
                .filter(value ->
                        LedgerCodec.decode(key, value.content()).change().equals(change))
                .map(StoredValue::version);
    }
}
