package org.pollenhoist.serving.placement;

import java.util.Map;
import java.util.Set;

/**
 * What a placement decision has to know of an engine.
 *
 * @param identifier the engine
 * @param failureDomain where it runs
 * @param holdings adapters by model, with all that may still be there or come: what takes room
 * @param models models that requests can use there or soon can
 * @param readyModels models that requests can use there now
 * @param localCopies models whose weights it has in memory or on disk
 * @param isOrderPossible whether an order may be sent now
 * @param isOccupied whether an order on a model is in progress
 */
public record EngineView(
        String identifier,
        String failureDomain,
        Map<String, Set<String>> holdings,
        Set<String> models,
        Set<String> readyModels,
        Set<String> localCopies,
        boolean isOrderPossible,
        boolean isOccupied) {

    /** Copies the collections. */
    public EngineView {
        holdings = Map.copyOf(holdings);
        models = Set.copyOf(models);
        readyModels = Set.copyOf(readyModels);
        localCopies = Set.copyOf(localCopies);
    }

    boolean hasLocalCopy(String model) {
        return localCopies.contains(model);
    }

    /**
     * Counts the adapters.
     *
     * @return places for adapters that are taken
     */
    int adapterCount() {
        return holdings.values().stream().mapToInt(Set::size).sum();
    }
}
