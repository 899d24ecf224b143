package org.pollenhoist.serving.store;

import java.util.List;

/**
 * Items or changes that were read together.
 *
 * @param items the items in the order in which the store gave them
 * @param revision the store's revision at which they were read
 * @param hasMore whether items after the last one are left to read
 */
public record StorePage(List<StoreItem> items, long revision, boolean hasMore) {

    /** Copies the items. */
    public StorePage {
        items = List.copyOf(items);
    }
}
