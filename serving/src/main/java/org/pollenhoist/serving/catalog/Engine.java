package org.pollenhoist.serving.catalog;

import java.util.Map;

/**
 * What the model engines of a service have in common.
 *
 * @param slots requests that an engine runs at once
 * @param memoryTokens tokens that an engine's memory holds
 * @param weightMegabytes memory for weights and adapters
 * @param maximumAdapters places for adapters
 * @param storeLoadsPerSecond loads that the weight store allows over all engines
 * @param models the models by name
 */
public record Engine(
        int slots,
        long memoryTokens,
        double weightMegabytes,
        int maximumAdapters,
        double storeLoadsPerSecond,
        Map<String, Model> models) {

    /** Copies the models. */
    public Engine {
        models = Map.copyOf(models);
    }
}
