package org.pollenhoist.serving.node;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.request.CrashNotice;
import org.pollenhoist.request.CrashQuarantine;
import org.pollenhoist.serving.store.Store;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StoreResult;
import org.pollenhoist.vm.CrashVerdictExchange;
import org.pollenhoist.vm.generated.CrashVerdict;

/**
 * Keeps verdicts on requests that crash upstreams in the store, which outlives all VMs. The VM that reaches a verdict
 * writes it at once; whichever VM knows one that the store does not show writes it in its turn, and takes one out that
 * was lifted. Confined to the event loop.
 */
final class VerdictRecords {

    static final String PREFIX = "pollenhoist/quarantine/";

    /** How long the store keeps a verdict without a new write. */
    private static final Duration LEASE = Duration.ofMinutes(10);

    /** Time between the turns of two VMs: the store's answer to the first is known by then. */
    private static final Duration TURN = Duration.ofMillis(400);

    /** How much later one VM than another sees that an upstream lives on, and lifts a verdict. */
    private static final Duration REVIEWS_APART = Duration.ofSeconds(5);

    private static final Duration RETRY_PAUSE = Duration.ofSeconds(1);

    private static final DecisionLog LOG = DecisionLog.of("store");

    private final Store store;
    private final CrashQuarantine quarantine;
    private final Set<String> shown = new HashSet<>();
    private final Map<String, MonotonicTime> dueTimes = new HashMap<>();

    VerdictRecords(Store store, CrashQuarantine quarantine) {
        this.store = store;
        this.quarantine = quarantine;
    }

    void onWritten(StoreItem item, MonotonicTime now) {
        try {
            quarantine.restore(CrashVerdictExchange.fromMessage(CrashVerdict.parseFrom(item.value())), now);
            shown.add(item.key());
        } catch (InvalidProtocolBufferException | IllegalArgumentException unreadable) {
            LOG.event("verdict_unreadable", "key", item.key(), "reason", unreadable.getMessage());
        }
    }

    void onRemoved(String key) {
        shown.remove(key);
    }

    /** This VM has reached a verdict. */
    void write(CrashNotice verdict, MonotonicTime now) {
        String key = key(verdict);
        if (!shown.contains(key) && isDue(key, Duration.ZERO, now)) {
            write(key, verdict);
        }
    }

    /**
     * Brings the store into line with what is known here.
     *
     * @param placeInLine how many VMs have their turn before this one
     * @param now the present time
     */
    void tick(int placeInLine, MonotonicTime now) {
        Duration turn = TURN.multipliedBy(placeInLine + 1L);
        Map<String, CrashNotice> verdicts = new HashMap<>();
        quarantine.verdicts(now).forEach(verdict -> verdicts.put(key(verdict), verdict));
        dueTimes.keySet().removeIf(isSettled(verdicts.keySet()));
        verdicts.forEach((key, verdict) -> {
            if (!shown.contains(key) && isDue(key, turn, now)) {
                write(key, verdict);
            }
        });
        for (String key : Set.copyOf(shown)) {
            if (!verdicts.containsKey(key) && isDue(key, turn.plus(REVIEWS_APART), now)) {
                remove(key);
            }
        }
    }

    private Predicate<String> isSettled(Set<String> verdicts) {
        return key -> shown.contains(key) == verdicts.contains(key);
    }

    private boolean isDue(String key, Duration turn, MonotonicTime now) {
        MonotonicTime due = dueTimes.computeIfAbsent(key, ignored -> now.plus(turn));
        boolean isDue = !now.isBefore(due);
        if (isDue) {
            dueTimes.put(key, now.plus(RETRY_PAUSE).plus(turn));
        }
        return isDue;
    }

    private static String key(CrashNotice verdict) {
        return PREFIX + verdict.fingerprint();
    }

    private void write(String key, CrashNotice verdict) {
        store.grantLease(LEASE, granted -> {
            if (!(granted instanceof StoreResult.Success<Long> lease)) {
                LOG.event("verdict_not_kept", "key", key, "reason", granted);
                return;
            }
            byte[] value = CrashVerdictExchange.toMessage(verdict).toByteArray();
            store.commit(
                    List.of(new Store.Condition(key, 0)),
                    List.of(new Store.Write(key, value, OptionalLong.of(lease.value()))),
                    List.of(),
                    answer -> LOG.event("verdict_written", "key", key, "answer", answer));
        });
    }

    private void remove(String key) {
        store.commit(
                List.of(),
                List.of(),
                List.of(key),
                answer -> LOG.event("verdict_removed", "key", key, "answer", answer));
    }
}
