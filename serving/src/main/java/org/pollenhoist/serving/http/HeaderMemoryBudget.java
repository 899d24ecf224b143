package org.pollenhoist.serving.http;

import java.util.Map;
import org.pollenhoist.common.DecisionLog;

/**
 * Limits the total memory of the heads of requests, from their first byte to the end of their request, so that callers
 * whose heads are of legal size but costly can't exhaust the memory that others need. When the limit is exceeded, the
 * connection that holds most gives way. Confined to the event loop.
 *
 * <p>Example: {@code HeaderMemoryBudget.ofHeap(160L << 20)} allows 20 MiB, several hundred times the largest head of an
 * ordinary caller.
 */
public final class HeaderMemoryBudget {

    /** A connection that holds heads. */
    interface Holder {

        /** Returns the address of the other end. */
        String address();

        /** Refuses what is being read, or closes the connection, and releases all heads. */
        void giveUp();
    }

    private static final DecisionLog LOG = DecisionLog.of("caller");

    /** Responses may take another eighth, and what a process holds without any request less than half. */
    private static final int PARTS_OF_HEAP = 8;

    private final long maximumBytes;
    private final HeldMemory<Holder> held = new HeldMemory<>();
    private long connectionsGivenUp;

    HeaderMemoryBudget(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /**
     * Creates a budget of which nothing is used.
     *
     * @param heapBytes the largest size of the process's heap, in bytes
     * @return a budget of an eighth of it
     */
    public static HeaderMemoryBudget ofHeap(long heapBytes) {
        return new HeaderMemoryBudget(heapBytes / PARTS_OF_HEAP);
    }

    /**
     * Records the memory of a connection's heads, and makes connections give way if the limit is exceeded.
     *
     * @param holder the connection
     * @param bytes the memory of all its heads
     */
    void hold(Holder holder, long bytes) {
        held.set(holder, bytes);
        while (held.usedBytes() > maximumBytes) {
            giveUp(largestHolder());
        }
    }

    private Holder largestHolder() {
        return held.byHolder().entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .orElseThrow()
                .getKey();
    }

    private void giveUp(Holder holder) {
        long released = held.release(holder);
        connectionsGivenUp++;
        LOG.event(
                "header_memory_full",
                "sender",
                holder.address(),
                "released_bytes",
                released,
                "used_bytes",
                held.usedBytes(),
                "maximum_bytes",
                maximumBytes);
        holder.giveUp();
    }

    /** Records that a connection holds no heads any more; returns the memory that they had, in bytes. */
    long release(Holder holder) {
        return held.release(holder);
    }

    long usedBytes() {
        return held.usedBytes();
    }

    long connectionsGivenUp() {
        return connectionsGivenUp;
    }
}
