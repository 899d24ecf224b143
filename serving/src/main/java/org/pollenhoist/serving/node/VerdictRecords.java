package org.pollenhoist.serving.node;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.serving.store.Store;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StoreLease;
import org.pollenhoist.serving.store.StoreResult;
import org.pollenhoist.serving.store.StoreRevision;

/**
 * Persists verdicts on what crashes upstreams in the store, so that they survive a restart of all VMs. The VM that
 * reaches a verdict writes it immediately. Any VM that knows a verdict missing from the store writes it after a delay
 * that differs per VM; lifted verdicts are removed in the same way. Confined to the event loop.
 */
final class VerdictRecords {

    /** The verdicts of one kind that are in force. */
    interface Verdicts {

        /** Returns the stored form of each verdict by its name, which is unique among verdicts of this kind. */
        Map<String, byte[]> active(MonotonicTime now);

        /**
         * Restores a verdict from its stored form.
         *
         * @throws InvalidProtocolBufferException if it can't be decoded
         * @throws IllegalArgumentException if it has values that can't occur
         * @throws PollenhoistException if it has a name of a form that can't occur
         */
        void restore(byte[] stored, MonotonicTime now) throws InvalidProtocolBufferException;
    }

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

    private final String prefix;
    private final Store store;
    private final Verdicts verdicts;
    private final Set<String> storedKeys = new HashSet<>();
    private final Map<String, MonotonicTime> nextAttempts = new HashMap<>();

    /**
     * Creates an instance that knows no stored verdicts yet.
     *
     * @param prefix the prefix of the verdicts' keys in the store
     * @param store the store
     * @param verdicts the verdicts that this VM knows
     */
    VerdictRecords(String prefix, Store store, Verdicts verdicts) {
        this.prefix = prefix;
        this.store = store;
        this.verdicts = verdicts;
    }

    /** Returns whether a key of the store holds a verdict of this kind. */
    boolean isStoredAt(String key) {
        return key.startsWith(prefix);
    }

    void onWritten(StoreItem item, MonotonicTime now) {
        try {
            verdicts.restore(item.value(), now);
            storedKeys.add(item.key());
        } catch (InvalidProtocolBufferException | IllegalArgumentException | PollenhoistException unreadable) {
            LOG.event("verdict_unreadable", "key", item.key(), "reason", unreadable.getMessage());
        }
    }

    void onRemoved(String key) {
        storedKeys.remove(key);
    }

    /** Writes verdicts that this VM has just reached. */
    void writeNew(MonotonicTime now) {
        activeByKey(now).forEach((key, stored) -> {
            if (!storedKeys.contains(key) && isDue(key, Duration.ZERO, now)) {
                write(key, stored);
            }
        });
    }

    private Map<String, byte[]> activeByKey(MonotonicTime now) {
        Map<String, byte[]> byKey = new HashMap<>();
        verdicts.active(now).forEach((name, stored) -> byKey.put(prefix + name, stored));
        return byKey;
    }

    /**
     * Writes verdicts that the store lacks and removes those that were lifted.
     *
     * @param vmIndex number of VMs that write before this one
     * @param now the current time
     */
    void tick(int vmIndex, MonotonicTime now) {
        Duration delay = WRITE_STAGGER.multipliedBy(vmIndex + 1L);
        Map<String, byte[]> active = activeByKey(now);
        nextAttempts.keySet().removeIf(isConsistent(active.keySet()));
        active.forEach((key, stored) -> {
            if (!storedKeys.contains(key) && isDue(key, delay, now)) {
                write(key, stored);
            }
        });
        for (String key : Set.copyOf(storedKeys)) {
            if (!active.containsKey(key) && isDue(key, delay.plus(REVIEW_SKEW), now)) {
                remove(key);
            }
        }
    }

    private Predicate<String> isConsistent(Set<String> active) {
        return key -> storedKeys.contains(key) == active.contains(key);
    }

    private boolean isDue(String key, Duration delay, MonotonicTime now) {
        MonotonicTime due = nextAttempts.computeIfAbsent(key, ignored -> now.plus(delay));
        boolean isDue = !now.isBefore(due);
        if (isDue) {
            nextAttempts.put(key, now.plus(RETRY_DELAY).plus(delay));
        }
        return isDue;
    }

    private void write(String key, byte[] value) {
        store.grantLease(LEASE, granted -> {
            if (!(granted instanceof StoreResult.Success<StoreLease> lease)) {
                LOG.event("verdict_not_kept", "key", key, "reason", granted);
                return;
            }
            store.commit(
                    List.of(new Store.Condition(key, StoreRevision.NONE)),
                    List.of(new Store.Write(key, value, Optional.of(lease.value()))),
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
