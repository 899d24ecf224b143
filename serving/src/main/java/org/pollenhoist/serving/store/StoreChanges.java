package org.pollenhoist.serving.store;

import java.time.Duration;
import java.util.List;

/**
 * What one process knows of the store beyond a revision, for another one.
 *
 * @param revision the revision up to which it is known
 * @param items items that were written after the other one's revision, or all where it is whole
 * @param removals keys that were removed after that, with the revision of their removal
 * @param isSnapshot whether the items are all that there are
 * @param sinceStoreRecovery how long ago the store came back after an outage
 */
public record StoreChanges(
        long revision,
        List<StoreItem> items,
        List<StoreItem> removals,
        boolean isSnapshot,
        Duration sinceStoreRecovery) {

    /** Copies the lists. */
    public StoreChanges {
        items = List.copyOf(items);
        removals = List.copyOf(removals);
    }
}
