package org.pollenhoist.experiments.placement;

import org.pollenhoist.common.ModelName;

/** How models come to and leave replicas in a simulated run. */
sealed interface PlacementStrategy permits StaticStrategy, OnDemandStrategy, CoordinatedStrategy {

    /** Acts at the beginning of a second. */
    void everySecond(PlacementSimulation simulation, double now);

    /** Acts when a request finds no free place at a copy of its model. */
    void onShortage(PlacementSimulation simulation, ModelName model, double now);
}
