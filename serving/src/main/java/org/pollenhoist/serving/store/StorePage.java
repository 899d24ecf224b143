package org.pollenhoist.serving.store;

import java.util.List;

/**
 * The items or changes that one call to the store returned.
 *
 * @param items the items, in the order in which the store returned them
 * @param revision the store's revision at which they were read
 * @param hasMore whether the store has further items after the last one
 */
public record StorePage(List<StoreItem> items, StoreRevision revision, boolean hasMore) {

    /** Creates an immutable copy of the items. */
    public StorePage {
        items = List.copyOf(items);
    }
}
