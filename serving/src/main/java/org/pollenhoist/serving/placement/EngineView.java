package org.pollenhoist.serving.placement;

import java.util.Map;
import java.util.Set;

/**
 * The state of an engine on which placement decisions are based.
 *
 * @param identifier the identifier of the engine
 * @param failureDomain the failure domain in which it runs
 * @param possibleResidents adapters by model, everything that may occupy memory: what is loaded, what is being
 *     unloaded and what an order may still load
 * @param readyOrLoadingModels models that requests can use there now or once a load in progress ends
 * @param readyModels models that requests can use there now
 * @param localCopies models whose weights are in its memory or on its disk
 * @param isOrderPossible whether an order may be sent now
 * @param isOccupied whether it is loading or unloading a model
 * @param isRateLimited whether it limits its requests, so that its copies serve little
 */
public record EngineView(
        String identifier,
        String failureDomain,
        Map<String, Set<String>> possibleResidents,
        Set<String> readyOrLoadingModels,
        Set<String> readyModels,
        Set<String> localCopies,
        boolean isOrderPossible,
        boolean isOccupied,
        boolean isRateLimited) {

    /** Makes defensive copies of the collections. */
    public EngineView {
        possibleResidents = Map.copyOf(possibleResidents);
        readyOrLoadingModels = Set.copyOf(readyOrLoadingModels);
        readyModels = Set.copyOf(readyModels);
        localCopies = Set.copyOf(localCopies);
    }

    boolean hasLocalCopy(String model) {
        return localCopies.contains(model);
    }

    /**
     * Counts the adapters that may occupy memory.
     *
     * @return the number of adapter slots in use
     */
    int adapterCount() {
        return possibleResidents.values().stream().mapToInt(Set::size).sum();
    }
}
