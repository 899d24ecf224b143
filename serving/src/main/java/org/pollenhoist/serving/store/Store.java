package org.pollenhoist.serving.store;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * The platform's key-value store. Calls return at once; the answer arrives on the event loop, exactly once for each
 * call and within the time-out of the implementation.
 */
public interface Store {

    /**
     * A write that is a part of a transaction.
     *
     * @param key the key
     * @param value the new content
     * @param lease the lease whose end removes the item, or empty
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Write(String key, byte[] value, OptionalLong lease) {}

    /**
     * A condition of a transaction.
     *
     * @param key the key
     * @param revision the revision of its last change, 0 where the key must not exist
     */
    record Condition(String key, long revision) {}

    /**
     * Reads a page of the items whose keys begin with a prefix.
     *
     * @param prefix the prefix, empty for all items
     * @param afterKey the key after which the page begins, empty for the first page
     * @param answer receives the page
     */
    void list(String prefix, String afterKey, Consumer<StoreResult<StorePage>> answer);

    /**
     * Waits for changes.
     *
     * @param prefix the prefix of the keys, empty for all
     * @param afterRevision the revision up to which changes are known
     * @param wait how long the store waits for a change
     * @param answer receives the changes, none where nothing changed; rejected where the history is gone
     */
    void watch(String prefix, long afterRevision, Duration wait, Consumer<StoreResult<StorePage>> answer);

    /**
     * Writes and removes all or nothing.
     *
     * @param conditions what must hold
     * @param writes what is written
     * @param removals keys that are removed
     * @param answer receives the store's revision after the change
     */
    void commit(
            List<Condition> conditions, List<Write> writes, List<String> removals, Consumer<StoreResult<Long>> answer);

    /**
     * Grants a lease, which runs from the arrival of the call.
     *
     * @param duration how long it lasts without renewal
     * @param answer receives its number
     */
    void grantLease(Duration duration, Consumer<StoreResult<Long>> answer);

    /**
     * Renews a lease.
     *
     * @param lease its number
     * @param answer receives how long it lasts from the arrival of the call; rejected where it has ended
     */
    void renewLease(long lease, Consumer<StoreResult<Duration>> answer);

    /**
     * Ends a lease and removes its items.
     *
     * @param lease its number
     */
    void endLease(long lease);
}
