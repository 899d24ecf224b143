package org.pollenhoist.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What is believed of one upstream's prefix cache. Events come late and with gaps: an entry counts only within the
 * generation that it was learnt in, and each gap in the sequence numbers starts a new generation, since the missing
 * events may have evicted anything learnt before. Not thread-safe: guarded by the table's lock.
 */
final class CacheHints {

    /** Bound on remembered prefixes for one upstream, which keeps a node's memory for 138 upstreams below 32 MB. */
    private static final int MAXIMUM_ENTRIES = 1_024;

    private final Map<Long, Long> generationByFingerprint = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > MAXIMUM_ENTRIES;
        }
    };

    private long generation;
    private long incarnation;
    private long lastSequence = -1;

    void startIncarnation(long newIncarnation) {
        if (newIncarnation != incarnation) {
            incarnation = newIncarnation;
            lastSequence = -1;
            generationByFingerprint.clear();
        }
    }

    void apply(CacheEvent event) {
        if (event.sequence() <= lastSequence) {
            return;
        }
        boolean isGap = lastSequence >= 0 && event.sequence() != lastSequence + 1;
        if (isGap) {
            generation++;
        }
        lastSequence = event.sequence();
        switch (event.kind()) {
            case STORED -> generationByFingerprint.put(event.fingerprint(), generation);
            case EVICTED -> generationByFingerprint.remove(event.fingerprint());
        }
    }

    /** A request with these prefixes was sent there, so that its prompt will be cached soon. */
    void expect(List<Long> prefixes) {
        prefixes.forEach(fingerprint -> generationByFingerprint.put(fingerprint, generation));
    }

    /** How many leading blocks are believed to be cached. */
    int matchingBlocks(List<Long> prefixes) {
        int matching = 0;
        for (long fingerprint : prefixes) {
            Long learnt = generationByFingerprint.get(fingerprint);
            if (learnt == null || learnt != generation) {
                break;
            }
            matching++;
        }
        return matching;
    }
}
