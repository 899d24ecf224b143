package org.pollenhoist.configuration;

import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.PollenhoistException;

/**
 * One difference between two configurations.
 *
 * @param subject what differs, such as {@code team crews}
 * @param change {@code added}, {@code removed}, or each changed value as {@code name old -> new}
 */
public record Difference(String subject, String change) {

    /**
     * Compares two configurations.
     *
     * @param earlier the earlier one
     * @param later the later one
     * @return the differences, in the order of teams, profiles, models, routes, upstreams, limits and keys
     */
    public static List<Difference> between(Configuration earlier, Configuration later) {
        List<Difference> differences = new ArrayList<>();
        compare("team", earlier.teams(), later.teams(), differences);
        compare("profile", earlier.profiles(), later.profiles(), differences);
        compare("model", earlier.models(), later.models(), differences);
        compare("route", earlier.routes(), later.routes(), differences);
        compare("upstream", earlier.upstreams(), later.upstreams(), differences);
        if (!earlier.weightStore().equals(later.weightStore())) {
            differences.add(new Difference("weight_store", changes(earlier.weightStore(), later.weightStore())));
        }
        compare("key", keysByIdentifier(earlier), keysByIdentifier(later), differences);
        return differences;
    }

    private static Map<String, KeyRecord> keysByIdentifier(Configuration configuration) {
        Map<String, KeyRecord> keys = new TreeMap<>();
        configuration.keys().values().forEach(key -> keys.put(key.identifier(), key));
        return keys;
    }

    private static <N extends Comparable<N>, V> void compare(
            String kind, Map<N, V> earlier, Map<N, V> later, List<Difference> differences) {
        TreeSet<N> names = new TreeSet<>(earlier.keySet());
        names.addAll(later.keySet());
        for (N name : names) {
            V before = earlier.get(name);
            V after = later.get(name);
            if (before == null) {
                differences.add(new Difference(kind + " " + name, "added"));
            } else if (after == null) {
                differences.add(new Difference(kind + " " + name, "removed"));
            } else if (!before.equals(after)) {
                differences.add(new Difference(kind + " " + name, changes(before, after)));
            }
        }
    }

    private static String changes(Object before, Object after) {
        List<String> changes = new ArrayList<>();
        for (RecordComponent component : before.getClass().getRecordComponents()) {
            Object old = value(component, before);
            Object fresh = value(component, after);
            if (!Objects.equals(old, fresh)) {
                changes.add(component.getName() + " " + old + " -> " + fresh);
            }
        }
        return String.join(", ", changes);
    }

    private static Object value(RecordComponent component, Object instance) {
        try {
            return component.getAccessor().invoke(instance);
        } catch (ReflectiveOperationException exception) {
            throw new PollenhoistException(
                    ErrorCode.INTERNAL, "record component " + component.getName() + " can't be read", exception);
        }
    }

    @Override
    public String toString() {
        return subject + ": " + change;
    }
}
