package org.pollenhoist.serving.limit;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts how many tokens of one team another failure domain has spent. The VMs of that domain take turns in reporting
 * its total, each counting from its own start, and sometimes two of them report at the same time. Tokens that one VM
 * has reported are not counted again when another VM reports them. Confined to the event loop.
 */
final class DomainSpendingCounter {

    /** Maximum number of reporting VMs whose offset is kept; the oldest entry is evicted. */
    private static final int MAXIMUM_REPORTERS = 8;

    private final Map<Long, Long> offsetsByReporter = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > MAXIMUM_REPORTERS;
        }
    };

    private long counted;

    /**
     * Adds a reported total.
     *
     * @param reporter the incarnation of the VM that reports it
     * @param total tokens spent since that VM began to count
     * @return tokens that were not counted yet; 0 for the first report of a VM, since its total lies in the past
     */
    long add(long reporter, long total) {
        long offset = offsetsByReporter.computeIfAbsent(reporter, ignored -> counted - total);
        long spent = Math.max(0, total + offset - counted);
        counted += spent;
        return spent;
    }
}
