package org.pollenhoist.serving.request;

/**
 * Limits the total memory of responses that are buffered before they are passed on, so that upstreams that send endless
 * responses can't exhaust the memory that other responses need. Confined to the event loop.
 */
public final class ResponseBufferBudget {

    private final long maximumBytes;
    private long usedBytes;

    /**
     * Creates a budget of which nothing is reserved.
     *
     * @param maximumBytes the limit for all buffered responses together, in bytes
     */
    public ResponseBufferBudget(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /** Reserves bytes. Returns false, and reserves none, if fewer than that are left. */
    boolean tryReserve(long bytes) {
        if (usedBytes + bytes > maximumBytes) {
            return false;
        }
        usedBytes += bytes;
        return true;
    }

    void release(long bytes) {
        usedBytes -= bytes;
    }
}
