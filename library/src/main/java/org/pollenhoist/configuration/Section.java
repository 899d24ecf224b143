package org.pollenhoist.configuration;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.pollenhoist.settings.FindingCode;
import org.pollenhoist.settings.TomlTable;

/**
 * One kind of named tables, such as {@code [teams.NAME]}, with the place of each.
 *
 * @param <N> the type of the names
 * @param <V> the type of the values
 */
final class Section<N extends Comparable<N>, V> {

    private final SortedMap<N, V> values = new TreeMap<>();
    private final SortedMap<N, TomlTable> places = new TreeMap<>();

    /** Reads the tables of one file; a name that stands in an earlier file already is a finding. */
    void add(Map<String, TomlTable> tables, Function<String, N> parse, BiFunction<N, TomlTable, V> read) {
        tables.forEach((text, table) -> table.ownName(text, parse).ifPresent(name -> {
            V value = read.apply(name, table);
            table.rejectUnknownKeys();
            if (values.putIfAbsent(name, value) != null) {
                table.reject("", "a second '" + name + "'", "each name once", FindingCode.DUPLICATE);
            } else {
                places.put(name, table);
            }
        }));
    }

    SortedMap<N, V> values() {
        return values;
    }

    /** Adds a finding at a key of a value's table. */
    void reject(N name, String key, String actual, String expected, FindingCode code) {
        places.get(name).reject(key, actual, expected, code);
    }
}
