package org.pollenhoist.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The platform's service in memory, without faults. Remembers every version of every value. */
public final class InMemoryPlatform implements PlatformService {

    private final TreeMap<String, StoredValue> values = new TreeMap<>();
    private final List<StoredValue> history = new ArrayList<>();
    private final List<TreeMap<String, StoredValue>> snapshots = new ArrayList<>();
    private int calls;

    @Override
    public synchronized Optional<StoredValue> read(String key) {
        calls++;
        return Optional.ofNullable(values.get(key));
    }

    @Override
    public synchronized Listing list(String prefix) {
        calls++;
        return listing(prefix, values, snapshots.size());
    }

    /** Answers as some past state of the store. */
    synchronized Optional<StoredValue> readAsOf(String key, int revision) {
        return revision == 0
                ? Optional.empty()
                : Optional.ofNullable(snapshots.get(revision - 1).get(key));
    }

    synchronized Listing listAsOf(String prefix, int revision) {
        return listing(prefix, revision == 0 ? new TreeMap<>() : snapshots.get(revision - 1), revision);
    }

    synchronized int revision() {
        return snapshots.size();
    }

    private static Listing listing(String prefix, Map<String, StoredValue> state, int revision) {
        List<StoredValue> found = state.values().stream()
                .filter(value -> value.key().startsWith(prefix))
                .toList();
        return new Listing(revision, found);
    }

    @Override
    public synchronized WriteOutcome compareAndSwap(
            String key, long expectedVersion, byte[] content, Optional<String> leaseIdentifier) {
        calls++;
        long actual = versionOf(key);
        if (actual != expectedVersion) {
            return new WriteOutcome.Conflict(actual);
        }
        StoredValue stored = new StoredValue(key, actual + 1, content.clone());
        values.put(key, stored);
        history.add(stored);
        snapshots.add(new TreeMap<>(values));
        notifyAll();
        return new WriteOutcome.Written(actual + 1);
    }

    @Override
    public synchronized WriteOutcome remove(String key, long expectedVersion) {
        calls++;
        long actual = versionOf(key);
        if (actual != expectedVersion) {
            return new WriteOutcome.Conflict(actual);
        }
        values.remove(key);
        snapshots.add(new TreeMap<>(values));
        notifyAll();
        return new WriteOutcome.Written(0);
    }

    private long versionOf(String key) {
        StoredValue stored = values.get(key);
        return stored == null ? 0 : stored.version();
    }

    @Override
    public synchronized Optional<Listing> watch(String prefix, long afterRevision, Duration wait) {
        calls++;
        long end = System.nanoTime() + wait.toNanos();
        while (snapshots.size() <= afterRevision) {
            long left = (end - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                return Optional.empty();
            }
            try {
                wait(left);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                return Optional.empty();
            }
        }
        return Optional.of(listing(prefix, values, snapshots.size()));
    }

    @Override
    public String grantLease(Duration duration) {
        throw new UnsupportedOperationException("leases are not needed here");
    }

    @Override
    public boolean renewLease(String leaseIdentifier) {
        throw new UnsupportedOperationException("leases are not needed here");
    }

    @Override
    public void revokeLease(String leaseIdentifier) {
        throw new UnsupportedOperationException("leases are not needed here");
    }

    @Override
    public List<ListedVm> listVms() {
        return List.of();
    }

    /** Every value ever written to a key, in order. */
    public synchronized List<StoredValue> historyOf(String key) {
        return history.stream().filter(value -> value.key().equals(key)).toList();
    }

    /** Returns the values as they stood after each change, oldest first. */
    public synchronized List<Map<String, StoredValue>> snapshots() {
        return List.copyOf(snapshots);
    }

    /** Returns a platform that holds the last value ever written to each key, also those that were removed. */
    public synchronized InMemoryPlatform withRemovedValues() {
        InMemoryPlatform all = new InMemoryPlatform();
        history.forEach(value -> all.values.put(value.key(), value));
        return all;
    }

    public synchronized int calls() {
        return calls;
    }
}
