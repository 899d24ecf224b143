package org.pollenhoist.placement;

import java.util.Map;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;

/**
 * What one decision round hands on to the next. A new acting process begins with none.
 *
 * @param demand the smoothed demand of each model
 * @param waitingSince since when each model has had too few copies
 * @param copySince since when each copy has been seen to answer
 */
public record PolicyMemory(
        Map<ModelName, DemandEstimate> demand,
        Map<ModelName, MonotonicTime> waitingSince,
        Map<CopyPlace, MonotonicTime> copySince) {

    /** Copies the maps. */
    public PolicyMemory {
        demand = Map.copyOf(demand);
        waitingSince = Map.copyOf(waitingSince);
        copySince = Map.copyOf(copySince);
    }

    /**
     * Returns the memory of a process that begins to act.
     *
     * @return an empty memory
     */
    public static PolicyMemory none() {
        return new PolicyMemory(Map.of(), Map.of(), Map.of());
    }

    /**
     * A model on an engine.
     *
     * @param model the model
     * @param upstream the engine's name
     */
    public record CopyPlace(ModelName model, UpstreamName upstream) {}
}
