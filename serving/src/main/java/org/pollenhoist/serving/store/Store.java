package org.pollenhoist.serving.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The platform's key-value store. Calls return immediately; the result is delivered on the event loop, exactly once for
 * each call and within the time-out of the implementation.
 */
public interface Store {

    /**
     * A write in a transaction.
     *
     * @param key the key
     * @param value the new value
     * @param lease the lease whose end removes the item, or empty if the item is kept until it is removed explicitly
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Write(String key, byte[] value, Optional<StoreLease> lease) {}

    /**
     * A precondition of a transaction: the key was last changed at a given revision.
     *
     * @param key the key
     * @param revision the expected revision of its last change, {@link StoreRevision#NONE} if the key must not exist
     */
    record Condition(String key, StoreRevision revision) {}

    /**
     * Reads a page of the items whose keys begin with a prefix.
     *
     * @param prefix the prefix, empty for all items
     * @param afterKey the key after which the page begins, empty for the first page
     * @param callback receives the page
     */
    void list(String prefix, String afterKey, Consumer<StoreResult<StorePage>> callback);

    /**
     * Waits for changes after a revision.
     *
     * @param prefix the prefix of the keys, empty for all
     * @param afterRevision the revision up to which the caller knows the changes
     * @param wait how long the store waits for a change before it responds without one
     * @param callback receives the changes, none if there were none in time; rejected if the store does not have the
     *     history after the revision, or the revision is of an earlier era
     */
    void watch(String prefix, StoreRevision afterRevision, Duration wait, Consumer<StoreResult<StorePage>> callback);

    /**
     * Writes and removes items atomically.
     *
     * @param conditions the conditions that must all hold for the transaction to take effect
     * @param writes the writes
     * @param removals the keys to remove
     * @param callback receives the store's revision after the change; rejected if a condition does not hold, or names a
     *     revision or a lease of an earlier era
     */
    void commit(
            List<Condition> conditions,
            List<Write> writes,
            List<String> removals,
            Consumer<StoreResult<StoreRevision>> callback);

    /**
     * Grants a lease, whose duration begins when the store receives the call.
     *
     * @param duration how long it lasts without renewal
     * @param callback receives the lease
     */
    void grantLease(Duration duration, Consumer<StoreResult<StoreLease>> callback);

    /**
     * Renews a lease.
     *
     * @param lease the lease
     * @param callback receives how long the lease lasts from the store's receipt of the call; rejected if the lease has
     *     ended or was granted in an earlier era
     */
    void renewLease(StoreLease lease, Consumer<StoreResult<Duration>> callback);

    /**
     * Ends a lease and removes its items. A lease that was granted in an earlier era is left alone.
     *
     * @param lease the lease
     */
    void endLease(StoreLease lease);
}
