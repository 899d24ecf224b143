package org.pollenhoist.serving.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * A simulated store that records which items it held at each revision, loses its history, and comes back from older
 * copies.
 */
final class RecordedStore {

    private static final int KEYS = 6;
    private static final int PAGE_SIZE = 2;

    private final Random random;
    private final TreeMap<String, Long> items = new TreeMap<>();
    private final List<StoreItem> history = new ArrayList<>();
    private final Map<StoreRevision, Map<String, Long>> states = new HashMap<>();
    private final Map<Long, Map<String, Long>> latestStates = new HashMap<>();
    private Map<String, Long> copy = Map.of();
    private StoreRevision copyRevision = new StoreRevision(1, 10);
    private StoreRevision revision = copyRevision;
    private long historyStart = revision.number();

    RecordedStore(Random random) {
        this.random = random;
        record();
    }

    StoreRevision revision() {
        return revision;
    }

    Map<String, Long> items() {
        return Map.copyOf(items);
    }

    /** Returns the numbers of the revisions at which the items that existed at a revision had been written. */
    Map<String, Long> itemsAt(StoreRevision past) {
        return states.get(past);
    }

    /** Returns the items that existed last in an era. */
    Map<String, Long> latestItemsOf(long era) {
        return latestStates.get(era);
    }

    void change() {
        String key = "k" + random.nextInt(KEYS);
        change(key, random.nextInt(3) == 0);
    }

    /** Writes and removes more items than removals are recorded. */
    void changeMany(int count) {
        for (int index = 0; index < count; index++) {
            change("many" + index, false);
            change("many" + index, true);
        }
    }

    private void change(String key, boolean isRemoval) {
        if (isRemoval && !items.containsKey(key)) {
            return;
        }
        revision = new StoreRevision(revision.era(), revision.number() + 1);
        history.add(new StoreItem(key, new byte[0], revision, isRemoval));
        if (isRemoval) {
            items.remove(key);
        } else {
            items.put(key, revision.number());
        }
        record();
    }

    private void record() {
        Map<String, Long> state = Map.copyOf(items);
        states.put(revision, state);
        latestStates.put(revision.era(), state);
    }

    void loseHistory() {
        historyStart = revision.number();
        history.clear();
    }

    void takeCopy() {
        copy = Map.copyOf(items);
        copyRevision = revision;
    }

    void comeBackFromCopy() {
        items.clear();
        items.putAll(copy);
        revision = new StoreRevision(revision.era() + 1, copyRevision.number());
        loseHistory();
        record();
    }

    StoreResult<StorePage> list(String afterKey) {
        List<StoreItem> page = items.tailMap(afterKey, false).entrySet().stream()
                .limit(PAGE_SIZE)
                .map(entry -> new StoreItem(
                        entry.getKey(), new byte[0], new StoreRevision(revision.era(), entry.getValue()), false))
                .toList();
        boolean hasMore =
                !page.isEmpty() && items.higherKey(page.get(page.size() - 1).key()) != null;
        return new StoreResult.Success<>(new StorePage(page, revision, hasMore));
    }

    StoreResult<StorePage> watch(StoreRevision after) {
        if (after.number() > revision.number() || after.number() < historyStart) {
            return new StoreResult.Rejected<>("410");
        }
        List<StoreItem> changed = history.stream()
                .filter(item -> item.revision().number() > after.number())
                .toList();
        return new StoreResult.Success<>(new StorePage(changed, revision, false));
    }
}
