package org.pollenhoist.serving.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.pollenhoist.serving.store.Store;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StoreLease;
import org.pollenhoist.serving.store.StorePage;
import org.pollenhoist.serving.store.StoreResult;
import org.pollenhoist.serving.store.StoreRevision;

/** A store in memory that applies changes immediately and can be set to be unavailable. */
final class InMemoryStore implements Store {

    final Map<String, byte[]> items = new HashMap<>();
    private final Map<String, Long> revisions = new HashMap<>();
    private long revision;
    private long era;
    boolean isUnavailable;
    int commits;
    long leases;

    @Override
    public void list(String prefix, String afterKey, Consumer<StoreResult<StorePage>> onResult) {
        List<StoreItem> page = items.entrySet().stream()
                .filter(item -> item.getKey().startsWith(prefix))
                .map(item ->
                        new StoreItem(item.getKey(), item.getValue(), currentEra(revisionOf(item.getKey())), false))
                .toList();
        onResult.accept(new StoreResult.Success<>(new StorePage(page, currentEra(revision), false)));
    }

    @Override
    public void watch(
            String prefix, StoreRevision afterRevision, Duration wait, Consumer<StoreResult<StorePage>> onResult) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void commit(
            List<Condition> conditions,
            List<Write> writes,
            List<String> removals,
            Consumer<StoreResult<StoreRevision>> onResult) {
        commits++;
        if (!conditions.stream()
                .allMatch(condition ->
                        revisionOf(condition.key()) == condition.revision().number()
                                && (condition.revision().equals(StoreRevision.NONE)
                                        || condition.revision().era() == era))) {
            onResult.accept(new StoreResult.Rejected<>("condition failed"));
            return;
        }
        if (writes.stream().flatMap(write -> write.lease().stream()).anyMatch(lease -> lease.era() != era)) {
            onResult.accept(new StoreResult.Rejected<>("no such lease"));
            return;
        }
        revision++;
        writes.forEach(write -> {
            items.put(write.key(), write.value());
            revisions.put(write.key(), revision);
        });
        removals.forEach(key -> {
            items.remove(key);
            revisions.remove(key);
        });
        onResult.accept(new StoreResult.Success<>(currentEra(revision)));
    }

    /** A copy of the store, to which it can go back. */
    record Copy(Map<String, byte[]> items, Map<String, Long> revisions, long revision) {}

    Copy copy() {
        return new Copy(Map.copyOf(items), Map.copyOf(revisions), revision);
    }

    /** Goes back to a copy: what was written since is lost, and its revisions are assigned again in a new era. */
    void comeBackFrom(Copy copy) {
        era++;
        items.clear();
        items.putAll(copy.items());
        revisions.clear();
        revisions.putAll(copy.revisions());
        revision = copy.revision();
    }

    long era() {
        return era;
    }

    private StoreRevision currentEra(long number) {
        return new StoreRevision(era, number);
    }

    /** Returns the revision of an item's last change, 0 if there is none. */
    long revisionOf(String key) {
        return revisions.getOrDefault(key, 0L);
    }

    @Override
    public void grantLease(Duration duration, Consumer<StoreResult<StoreLease>> onResult) {
        onResult.accept(
                isUnavailable
                        ? new StoreResult.Unavailable<>("down")
                        : new StoreResult.Success<>(new StoreLease(era, ++leases)));
    }

    @Override
    public void renewLease(StoreLease lease, Consumer<StoreResult<Duration>> onResult) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void endLease(StoreLease lease) {
        throw new UnsupportedOperationException();
    }
}
