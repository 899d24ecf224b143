package org.pollenhoist.standins.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * The state of the platform's service, without I/O or clock: the present time is an argument, counted from any origin.
 *
 * <p>Not safe for use by several threads; the process around it holds one lock.
 */
public final class PlatformState {

    /** The most bytes that a value may hold. */
    public static final int MAXIMUM_VALUE_BYTES = 1 << 20;

    private final NavigableMap<String, Entry> entries = new TreeMap<>();
    private final NavigableMap<String, Long> changeRevisions = new TreeMap<>();
    private final Map<String, LeaseState> leases = new HashMap<>();
    private long revision;
    private long leasesGranted;

    /**
     * Reads a value.
     *
     * @param key the key
     * @param now the present time
     * @return the value, or empty where there is none
     */
    public Optional<Value> read(String key, Duration now) {
        endLeases(now);
        return Optional.ofNullable(entries.get(key)).map(entry -> entry.asValue(key));
    }

    /**
     * Reads all values below a prefix.
     *
     * @param prefix the prefix
     * @param now the present time
     * @return the values in key order with the store's revision
     */
    public ValueList list(String prefix, Duration now) {
        endLeases(now);
        List<Value> values = new ArrayList<>();
        entries.tailMap(prefix, true).entrySet().stream()
                .takeWhile(entry -> entry.getKey().startsWith(prefix))
                .forEach(entry -> values.add(entry.getValue().asValue(entry.getKey())));
        return new ValueList(revision, values);
    }

    /**
     * Writes a value where its version is the expected one.
     *
     * @param key the key
     * @param expectedVersion the version to be replaced, 0 for none
     * @param content the new content
     * @param lease the lease whose end removes it, or empty
     * @param now the present time
     * @return what became of it
     */
    public WriteResult write(String key, long expectedVersion, byte[] content, Optional<String> lease, Duration now) {
        endLeases(now);
        if (content.length > MAXIMUM_VALUE_BYTES) {
            return new WriteResult.TooLarge(content.length);
        }
        if (lease.isPresent() && !leases.containsKey(lease.get())) {
            return new WriteResult.LeaseEnded(lease.get());
        }
        long actualVersion = versionOf(key);
        if (actualVersion != expectedVersion) {
            return new WriteResult.Conflict(actualVersion);
        }
        long newVersion = actualVersion + 1;
        untie(key);
        entries.put(key, new Entry(newVersion, content.clone(), lease));
        lease.ifPresent(identifier -> leases.get(identifier).keys().add(key));
        recordChange(key);
        return new WriteResult.Written(newVersion);
    }

    /**
     * Removes a value where its version is the expected one.
     *
     * @param key the key
     * @param expectedVersion the version to be removed
     * @param now the present time
     * @return what became of it
     */
    public WriteResult remove(String key, long expectedVersion, Duration now) {
        endLeases(now);
        long actualVersion = versionOf(key);
        if (actualVersion != expectedVersion || actualVersion == 0) {
            return new WriteResult.Conflict(actualVersion);
        }
        untie(key);
        entries.remove(key);
        recordChange(key);
        return new WriteResult.Written(0);
    }

    /**
     * Returns the revision of the latest change below a prefix.
     *
     * @param prefix the prefix
     * @param now the present time
     * @return the revision, 0 where nothing has changed yet
     */
    public long revisionBelow(String prefix, Duration now) {
        endLeases(now);
        return changeRevisions.tailMap(prefix, true).entrySet().stream()
                .takeWhile(entry -> entry.getKey().startsWith(prefix))
                .mapToLong(Map.Entry::getValue)
                .max()
                .orElse(0);
    }

    /**
     * Grants a lease.
     *
     * @param duration how long it lasts without renewal
     * @param now the present time
     * @return its identifier
     */
    public String grantLease(Duration duration, Duration now) {
        endLeases(now);
        leasesGranted++;
        String identifier = "lease-" + leasesGranted;
        leases.put(identifier, new LeaseState(duration, now.plus(duration), new HashSet<>()));
        return identifier;
    }

    /**
     * Renews a lease for its whole duration.
     *
     * @param identifier the lease
     * @param now the present time
     * @return false where it has ended
     */
    public boolean renewLease(String identifier, Duration now) {
        endLeases(now);
        LeaseState lease = leases.get(identifier);
        if (lease == null) {
            return false;
        }
        leases.put(identifier, new LeaseState(lease.duration(), now.plus(lease.duration()), lease.keys()));
        return true;
    }

    /**
     * Ends a lease and removes the values tied to it.
     *
     * @param identifier the lease
     * @param now the present time
     */
    public void endLease(String identifier, Duration now) {
        endLeases(now);
        end(identifier);
    }

    private void endLeases(Duration now) {
        List<String> ended = leases.entrySet().stream()
                .filter(entry -> entry.getValue().end().compareTo(now) <= 0)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
        ended.forEach(this::end);
    }

    private void end(String identifier) {
        LeaseState lease = leases.remove(identifier);
        if (lease == null) {
            return;
        }
        lease.keys().stream().sorted().forEach(key -> {
            entries.remove(key);
            recordChange(key);
        });
    }

    private void untie(String key) {
        Entry former = entries.get(key);
        if (former != null) {
            former.lease().map(leases::get).ifPresent(lease -> lease.keys().remove(key));
        }
    }

    private long versionOf(String key) {
        Entry entry = entries.get(key);
        return entry == null ? 0 : entry.version();
    }

    private void recordChange(String key) {
        revision++;
        changeRevisions.put(key, revision);
    }

    @SuppressWarnings("ArrayRecordComponent")
    private record Entry(long version, byte[] content, Optional<String> lease) {
        Value asValue(String key) {
            return new Value(key, version, content);
        }
    }

    private record LeaseState(Duration duration, Duration end, Set<String> keys) {}

    /**
     * A value as the service answers it.
     *
     * @param key its key
     * @param version its version
     * @param content its bytes
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Value(String key, long version, byte[] content) {}

    /**
     * Values that were read together.
     *
     * @param revision the store's revision
     * @param values the values in key order
     */
    public record ValueList(long revision, List<Value> values) {

        /** Copies the values. */
        public ValueList {
            values = List.copyOf(values);
        }
    }

    /** What became of a conditional write. */
    public sealed interface WriteResult {

        /**
         * It took effect.
         *
         * @param version the new version, 0 after a removal
         */
        record Written(long version) implements WriteResult {}

        /**
         * Another version stands.
         *
         * @param version the version that stands
         */
        record Conflict(long version) implements WriteResult {}

        /**
         * The content is larger than a value may be.
         *
         * @param actualBytes its size in bytes
         */
        record TooLarge(int actualBytes) implements WriteResult {}

        /**
         * The lease has ended; nothing was written.
         *
         * @param lease the lease
         */
        record LeaseEnded(String lease) implements WriteResult {}
    }
}
