package org.pollenhoist.serving.placement;

import java.util.List;
import org.pollenhoist.serving.upstream.HeldModel;

/**
 * The status that an engine reports on request.
 *
 * @param orderSequence the number of orders it has accepted
 * @param isOccupied whether it is loading or unloading a model
 * @param models the resident models with their adapters, including those that are being loaded
 */
public record EngineStatus(long orderSequence, boolean isOccupied, List<HeldModel> models) {

    /** Makes a defensive copy of the models. */
    public EngineStatus {
        models = List.copyOf(models);
    }
}
