package org.pollenhoist.serving.catalog;

import java.util.Map;

/**
 * The capacities that all model engines of a service share, and the models that they can load.
 *
 * @param slots number of requests that an engine can run concurrently
 * @param memoryTokens number of tokens that fit into an engine's memory
 * @param weightMegabytes an engine's memory for model weights and adapters, in megabytes
 * @param maximumAdapters maximum number of adapters that an engine can have loaded
 * @param storeLoadsPerSecond loads per second that the weight store allows over all engines together
 * @param models the models by name
 */
public record Engine(
        int slots,
        long memoryTokens,
        double weightMegabytes,
        int maximumAdapters,
        double storeLoadsPerSecond,
        Map<String, Model> models) {

    /** Creates an immutable copy of the models. */
    public Engine {
        models = Map.copyOf(models);
    }
}
