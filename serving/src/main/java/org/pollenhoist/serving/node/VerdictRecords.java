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
 * Persists verdicts on requests that crash upstreams in the store, so that they survive a restart of all VMs. The VM
 * that reaches a verdict writes it immediately. Any VM that knows a verdict missing from the store writes it after
 * a delay that differs per VM; lifted verdicts are removed in the same way. Confined to the event loop.
 */
final class VerdictRecords {

    static final String PREFIX = "pollenhoist/quarantine/";

    /** How long the store keeps a verdict that is not written again. */
    private static final Duration LEASE = Duration.ofMinutes(10);

    /**
     * Delay between the writes of two successive VMs, long enough that the store's response to the first one is known.
     */
    private static final Duration WRITE_STAGGER = Duration.ofMillis(400);

    /**
     * Maximum difference between the times at which two VMs find that an upstream has kept running and lift a verdict.
     */
    private static final Duration REVIEW_SKEW = Duration.ofSeconds(5);

    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private static final DecisionLog LOG = DecisionLog.of("store");

    private final Store store;
    private final CrashQuarantine quarantine;
    private final Set<String> storedKeys = new HashSet<>();
    private final Map<String, MonotonicTime> nextAttempts = new HashMap<>();

    VerdictRecords(Store store, CrashQuarantine quarantine) {
        this.store = store;
        this.quarantine = quarantine;
    }

    void onWritten(StoreItem item, MonotonicTime now) {
        try {
            quarantine.restore(CrashVerdictExchange.fromMessage(CrashVerdict.parseFrom(item.value())), now);
            storedKeys.add(item.key());
        } catch (InvalidProtocolBufferException | IllegalArgumentException unreadable) {
            LOG.event("verdict_unreadable", "key", item.key(), "reason", unreadable.getMessage());
        }
    }

    void onRemoved(String key) {
        storedKeys.remove(key);
    }

    /** Writes a verdict that this VM has reached. */
    void write(CrashNotice verdict, MonotonicTime now) {
        String key = key(verdict);
        if (!storedKeys.contains(key) && isDue(key, Duration.ZERO, now)) {
            write(key, verdict);
        }
    }

    /**
     * Writes verdicts that the store lacks and removes those that were lifted.
     *
     * @param vmIndex number of VMs that write before this one
     * @param now the current time
     */
    void tick(int vmIndex, MonotonicTime now) {
        Duration delay = WRITE_STAGGER.multipliedBy(vmIndex + 1L);
        Map<String, CrashNotice> verdicts = new HashMap<>();
        quarantine.verdicts(now).forEach(verdict -> verdicts.put(key(verdict), verdict));
        nextAttempts.keySet().removeIf(isConsistent(verdicts.keySet()));
        verdicts.forEach((key, verdict) -> {
            if (!storedKeys.contains(key) && isDue(key, delay, now)) {
                write(key, verdict);
            }
        });
        for (String key : Set.copyOf(storedKeys)) {
            if (!verdicts.containsKey(key) && isDue(key, delay.plus(REVIEW_SKEW), now)) {
                remove(key);
            }
        }
    }

    private Predicate<String> isConsistent(Set<String> verdicts) {
        return key -> storedKeys.contains(key) == verdicts.contains(key);
    }

    private boolean isDue(String key, Duration delay, MonotonicTime now) {
        MonotonicTime due = nextAttempts.computeIfAbsent(key, ignored -> now.plus(delay));
        boolean isDue = !now.isBefore(due);
        if (isDue) {
            nextAttempts.put(key, now.plus(RETRY_DELAY).plus(delay));
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
                    result -> LOG.event("verdict_written", "key", key, "answer", result));
        });
    }

    private void remove(String key) {
        store.commit(
                List.of(),
                List.of(),
                List.of(key),
                result -> LOG.event("verdict_removed", "key", key, "answer", result));
    }
}
