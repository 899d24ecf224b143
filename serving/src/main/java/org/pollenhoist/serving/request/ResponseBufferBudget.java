package org.pollenhoist.serving.request;

/**
 * Bounds what answers that are gathered before they are passed on hold in memory, all together: an upstream that
 * answers without end must not take the memory from the answers of others. Confined to the event loop.
 */
public final class ResponseBufferBudget {

    private final long maximumBytes;
    private long usedBytes;

    /**
     * Creates an unused memory.
     *
     * @param maximumBytes what may be held at once, in bytes
     */
    public ResponseBufferBudget(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /** Takes bytes. Returns false, and takes none, where so many are not left. */
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
