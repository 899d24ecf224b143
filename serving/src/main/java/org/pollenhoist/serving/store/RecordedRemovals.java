package org.pollenhoist.serving.store;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The latest removals of items, for peers that ask for changes. Confined to the event loop. */
final class RecordedRemovals {

    private static final int MAXIMUM_REMOVALS = 512;

    private StoreRevision completeFrom = StoreRevision.NONE;
    private final Map<String, StoreRevision> revisions = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, StoreRevision> eldest) {
            boolean isTooMany = size() > MAXIMUM_REMOVALS;
            if (isTooMany) {
                completeFrom = StoreRevision.later(completeFrom, eldest.getValue());
            }
            return isTooMany;
        }
    };

    void add(String key, StoreRevision revision) {
        revisions.remove(key);
        revisions.put(key, revision);
    }

    /** Forgets the removal of an item that has been written again. */
    void forget(String key) {
        revisions.remove(key);
    }

    /** Declares that no removals before a revision are known, and that those after it are of a lost history. */
    void beginAt(StoreRevision revision) {
        revisions.values().removeIf(removal -> removal.isAfter(revision));
        completeFrom = revision;
    }

    boolean isCompleteAfter(StoreRevision revision) {
        return !completeFrom.isAfter(revision);
    }

    boolean isRemovedAfter(String key, StoreRevision revision) {
        return revisions.getOrDefault(key, StoreRevision.NONE).isAfter(revision);
    }

    List<StoreItem> after(StoreRevision revision) {
        return revisions.entrySet().stream()
                .filter(removal -> removal.getValue().isAfter(revision))
                .map(removal -> new StoreItem(removal.getKey(), new byte[0], removal.getValue(), true))
                .toList();
    }
}
