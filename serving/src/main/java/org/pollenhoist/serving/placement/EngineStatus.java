package org.pollenhoist.serving.placement;

import java.util.List;
import org.pollenhoist.serving.upstream.ResidentModel;

/**
 * What an engine reports when it is asked.
 *
 * @param orderSequence the number of orders it has accepted
 * @param isOccupied whether an order on a model is in progress
 * @param models the models it holds, with their adapters, those on their way included
 */
public record EngineStatus(long orderSequence, boolean isOccupied, List<ResidentModel> models) {

    /** Copies the models. */
    public EngineStatus {
        models = List.copyOf(models);
    }
}
