package org.pollenhoist.serving.store;

import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;

/**
 * The changes of the store after a revision, or a snapshot of all its items, as one VM sends them to another.
 *
 * @param revision the revision up to which the sender knows the store
 * @param items the items that were written after the receiver's revision; all items in a snapshot
 * @param removals the keys that were removed after the receiver's revision, with the revisions of their removal
 * @param isSnapshot whether the items are all items of the store
 * @param sinceStoreRecovery how long ago the sender reached the store again after an outage
 */
public record StoreChanges(
        StoreRevision revision,
        List<StoreItem> items,
        List<StoreItem> removals,
        boolean isSnapshot,
        Duration sinceStoreRecovery) {

    /** Creates immutable copies of the lists. */
    public StoreChanges {
        items = List.copyOf(items);
        removals = List.copyOf(removals);
    }

    /**
     * Returns the changes without those of some keys.
     *
     * @param keys selects the keys to leave out
     * @return the other changes, up to the same revision
     */
    public StoreChanges without(Predicate<String> keys) {
        return new StoreChanges(revision, others(items, keys), others(removals, keys), isSnapshot, sinceStoreRecovery);
    }

    private static List<StoreItem> others(List<StoreItem> items, Predicate<String> keys) {
        return items.stream().filter(item -> !keys.test(item.key())).toList();
    }
}
