package org.pollenhoist.standins.faults;

import java.util.Map;
import java.util.TreeMap;

/** Counts calls by kind. Safe for use by several threads. */
public final class CallCounts {

    private final Map<String, Long> counts = new TreeMap<>();

    /**
     * Counts a call.
     *
     * @param kind its kind
     */
    public synchronized void add(String kind) {
        counts.merge(kind, 1L, Long::sum);
    }

    /**
     * Returns the counts so far.
     *
     * @return a copy, by kind
     */
    public synchronized Map<String, Long> read() {
        return new TreeMap<>(counts);
    }

    /** Sets all counts to zero. */
    public synchronized void clear() {
        counts.clear();
    }
}
