package org.pollenhoist.serving.catalog;

import java.time.Duration;

/**
 * A model that engines may hold.
 *
 * @param name its name
 * @param weightMegabytes the size of its weights
 * @param loadTime how long a load from the weight store takes
 * @param diskLoadTime how long a load from the engine's own disk takes
 * @param memoryLoadTime how long a load from the engine's own memory takes
 * @param adapters how many adapters it has
 * @param adapterMegabytes the size of one adapter
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
     * Returns how long an engine loads the model.
     *
     * @param hasLocalCopy whether the engine has its weights on its own disk
     * @return the time
     */
    public Duration loadTime(boolean hasLocalCopy) {
        return hasLocalCopy ? diskLoadTime : loadTime;
    }
}
