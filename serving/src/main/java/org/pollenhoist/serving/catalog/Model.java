package org.pollenhoist.serving.catalog;

import java.time.Duration;

/**
 * A model that engines can load.
 *
 * @param name its name
 * @param weightMegabytes the size of its weights, in megabytes
 * @param loadTime how long a load from the weight store takes
 * @param diskLoadTime how long a load from the engine's own disk takes
 * @param memoryLoadTime how long a load from the engine's own memory takes
 * @param adapters number of adapters that exist for it
 * @param adapterMegabytes the size of one adapter, in megabytes
 */
public record Model(
        String name,
        double weightMegabytes,
        Duration loadTime,
        Duration diskLoadTime,
        Duration memoryLoadTime,
        int adapters,
        double adapterMegabytes) {

    /**
     * Returns how long an engine takes to load the model.
     *
     * @param hasLocalCopy whether the engine has the model's weights on its own disk
     * @return the load time
     */
    public Duration loadTime(boolean hasLocalCopy) {
        return hasLocalCopy ? diskLoadTime : loadTime;
    }
}
