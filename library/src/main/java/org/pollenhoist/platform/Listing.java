package org.pollenhoist.platform;

import java.util.List;

/**
 * Values that were read together.
 *
 * @param revision the store's revision at which they were read, to watch from
 * @param values the values in key order
 */
public record Listing(long revision, List<StoredValue> values) {

    /** Copies the values. */
    public Listing {
        values = List.copyOf(values);
    }
}
