package org.pollenhoist.serving.http;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts what several holders hold of a memory that they share. Confined to the event loop.
 *
 * @param <H> the type of the holders
 */
public final class HeldMemory<H> {

    private final Map<H, Long> heldBytes = new LinkedHashMap<>();
    private long usedBytes;

    /** Creates a count of which nothing is held. */
    public HeldMemory() {}

    /**
     * Records how much a holder holds.
     *
     * @param holder the holder
     * @param bytes what it holds in all, in bytes
     */
    public void set(H holder, long bytes) {
        release(holder);
        if (bytes > 0) {
            heldBytes.put(holder, bytes);
            usedBytes += bytes;
        }
    }

    /**
     * Records that a holder holds nothing any more.
     *
     * @param holder the holder
     * @return what it held, in bytes
     */
    public long release(H holder) {
        Long held = heldBytes.remove(holder);
        usedBytes -= held == null ? 0 : held;
        return held == null ? 0 : held;
    }

    /**
     * Returns what all holders hold.
     *
     * @return the sum in bytes
     */
    public long usedBytes() {
        return usedBytes;
    }

    /**
     * Returns what each holder holds.
     *
     * @return the bytes by holder, the holder that was recorded last at the end
     */
    public Map<H, Long> byHolder() {
        return Collections.unmodifiableMap(heldBytes);
    }
}
