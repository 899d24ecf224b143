package org.pollenhoist.experiments.placement;

import org.pollenhoist.common.ModelName;

/** Baseline: the initial placement, sized by the mean demand of the whole run, stays. */
final class StaticStrategy implements PlacementStrategy {

    @Override
    public void everySecond(PlacementSimulation simulation, double now) {
        // Nothing moves.
    }

    @Override
    public void onShortage(PlacementSimulation simulation, ModelName model, double now) {
        // Nothing moves.
    }
}
