package org.pollenhoist.serving.upstream;

import java.util.HashMap;
import java.util.Map;
import org.pollenhoist.common.MonotonicTime;

/** When this VM last used the adapters of one upstream. Confined to the event loop. */
public final class AdapterUses {

    private final Map<String, MonotonicTime> uses = new HashMap<>();

    AdapterUses() {}

    /**
     * Records the use of an adapter.
     *
     * @param modelAndAdapter the adapter as {@code model/adapter}
     * @param now the current time
     */
    public void record(String modelAndAdapter, MonotonicTime now) {
        uses.put(modelAndAdapter, now);
    }

    /**
     * Returns when this VM last used an adapter.
     *
     * @param modelAndAdapter the adapter as {@code model/adapter}
     * @return a number that is greater for a later use; the smallest one if the adapter has not been used
     */
    public long last(String modelAndAdapter) {
        MonotonicTime used = uses.get(modelAndAdapter);
        return used == null ? Long.MIN_VALUE : used.nanoseconds();
    }
}
