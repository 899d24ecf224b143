package org.pollenhoist.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.pollenhoist.common.ModelName;

/**
 * The demand that a failure domain has to serve: that of its own callers and, for the models that it holds, its part of
 * the demand of domains that hold no copy.
 */
public final class DomainDemand {

    private DomainDemand() {}

    /**
     * Works out a domain's demand.
     *
     * @param own concurrent sequences that the domain's own callers ask of each model
     * @param plan the domain's own plan
     * @param others the plans of the other domains, as far as they can be read
     * @return concurrent sequences of each model
     */
    public static Map<ModelName, Double> of(
            Map<ModelName, Double> own, PlacementPlan plan, Collection<PlacementPlan> others) {
        Map<ModelName, Double> demand = new HashMap<>(own);
        for (ModelName model : plan.readyModels()) {
            double unhoused = 0;
            int holders = 1;
            for (PlacementPlan other : others) {
                if (other.readyModels().contains(model)) {
                    holders++;
                } else {
                    unhoused += other.demand().getOrDefault(model.value(), 0.0);
                }
            }
            demand.merge(model, unhoused / holders, Double::sum);
        }
        return demand;
    }
}
