package org.pollenhoist.serving.limit;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What another failure domain has spent of one team's tokens. VMs of that domain tell its total in turn, each since it
 * began to count, and now and then two of them do at once; what one has told is not counted again from the other.
 * Confined to the event loop.
 */
final class DomainSpendingCounter {

    /** Tellers that are remembered; the first ones are forgotten. */
    private static final int REMEMBERED_TELLERS = 8;

    private final Map<Long, Long> offsetsByTeller = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > REMEMBERED_TELLERS;
        }
    };

    private long counted;

    /**
     * Takes a total in.
     *
     * @param teller the incarnation of the VM that tells it
     * @param total tokens since that VM began to count
     * @return tokens that were not counted yet; none where the teller is new, since its total lies in the past
     */
    long add(long teller, long total) {
        long offset = offsetsByTeller.computeIfAbsent(teller, ignored -> counted - total);
        long spent = Math.max(0, total + offset - counted);
        counted += spent;
        return spent;
    }
}
