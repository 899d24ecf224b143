package org.pollenhoist.serving.request;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.serving.http.HeldMemory;

/**
 * Limits the total memory of responses and incomplete events that are buffered before they are passed on, so that an
 * upstream that sends endless responses can't exhaust the memory that other responses need. When the limit is exceeded,
 * the upstream that fills most of the memory gives way with its largest response. Confined to the event loop.
 */
public final class ResponseBufferBudget {

    /** Maximum total size of buffered responses and incomplete events: an eighth of the process's heap. */
    private static final long PROCESS_BYTES = 20L << 20;

    /** A response that is buffered. */
    interface Holder {

        /** Returns the upstream that sends the response. */
        String upstream();

        /** Ends the response and releases its memory. */
        void giveUp();
    }

    private static final DecisionLog LOG = DecisionLog.of("upstream");

    private final long maximumBytes;
    private final HeldMemory<Holder> held = new HeldMemory<>();

    /**
     * Creates the budget of a serving process.
     *
     * @return the budget
     */
    public static ResponseBufferBudget ofProcess() {
        return new ResponseBufferBudget(PROCESS_BYTES);
    }

    /**
     * Creates a budget of which nothing is used.
     *
     * @param maximumBytes the limit for all buffered responses together, in bytes
     */
    public ResponseBufferBudget(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /**
     * Records the size of a holder's buffer, and makes others give way if the limit is exceeded.
     *
     * @param holder the holder
     * @param bytes the capacity of its buffer
     * @return false if the holder has been given up itself
     */
    boolean resize(Holder holder, long bytes) {
        held.set(holder, bytes);
        while (held.usedBytes() > maximumBytes) {
            Holder yielding = yieldingHolder();
            long released = held.release(yielding);
            LOG.event(
                    "response_buffers_full",
                    "upstream",
                    yielding.upstream(),
                    "released_bytes",
                    released,
                    "used_bytes",
                    held.usedBytes(),
                    "maximum_bytes",
                    maximumBytes);
            yielding.giveUp();
        }
        return bytes == 0 || held.byHolder().containsKey(holder);
    }

    private Holder yieldingHolder() {
        Map<String, Long> byUpstream = new HashMap<>();
        held.byHolder().forEach((holder, bytes) -> byUpstream.merge(holder.upstream(), bytes, Long::sum));
        return held.byHolder().entrySet().stream()
                .max(Comparator.comparing((Map.Entry<Holder, Long> entry) ->
                                byUpstream.get(entry.getKey().upstream()))
                        .thenComparing(Map.Entry::getValue))
                .orElseThrow()
                .getKey();
    }

    /** Records that a holder has no buffer any more; returns how large it was. */
    long release(Holder holder) {
        return held.release(holder);
    }

    long usedBytes() {
        return held.usedBytes();
    }
}
