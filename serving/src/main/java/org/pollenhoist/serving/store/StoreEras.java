package org.pollenhoist.serving.store;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.List;
import org.pollenhoist.common.DecisionLog;

/**
 * Knows the newest era of the store that this process has heard of, from any response of the store or from a peer.
 * Confined to the event loop.
 */
public final class StoreEras {

    private static final DecisionLog LOG = DecisionLog.of("store");

    private final List<Runnable> listeners = new ArrayList<>();
    private long current;
    private boolean isKnown;
    private long changes;

    /**
     * Adds a listener that is called after each change of the era, before the response that showed it is processed.
     *
     * @param listener called on the event loop
     */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Registers the number of changes with the metrics.
     *
     * @param registry the registry of this process
     */
    public void register(PrometheusRegistry registry) {
        CounterWithCallback.builder()
                .name("pollenhoist_store_era_changes")
                .help("How often the store has come back from an older copy while this process ran.")
                .callback(counter -> counter.call((double) changes))
                .register(registry);
    }

    /**
     * Records the era that a response or a peer names.
     *
     * @param era the era, 0 if the store names none
     * @param source who named it, for the log
     * @return false if a newer one is known, so that what the source says of the store is outdated
     */
    public boolean observe(long era, String source) {
        if (isKnown && era <= current) {
            return era == current;
        }
        long before = current;
        current = era;
        if (!isKnown) {
            isKnown = true;
            return true;
        }
        changes++;
        LOG.event("store_era_changed", "before", before, "now", era, "source", source);
        listeners.forEach(Runnable::run);
        return true;
    }

    /**
     * Returns the newest era.
     *
     * @return the era, 0 if none was named
     */
    public long current() {
        return current;
    }

    /**
     * Returns how often the era has changed while this process ran.
     *
     * @return the count
     */
    public long changes() {
        return changes;
    }
}
