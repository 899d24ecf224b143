package org.pollenhoist.configuration;

import java.util.Collection;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;

/** Builds sorted maps. */
final class SortedMaps {

    private SortedMaps() {}

    static <N extends Comparable<N>, V> SortedMap<N, V> by(Collection<V> values, Function<V, N> nameOf) {
        SortedMap<N, V> map = new TreeMap<>();
        values.forEach(value -> map.put(nameOf.apply(value), value));
        return map;
    }
}
