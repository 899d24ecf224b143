package org.pollenhoist.placement;

import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.configuration.Model;

/**
 * All that a decision round of one failure domain knows.
 *
 * @param domain the failure domain
 * @param upstreams its engines by name
 * @param models the configured models by name
 * @param requiredCopies how many copies of each model the domain must hold as far as memory allows; absent for none
 * @param preferredCopies how many copies beyond these it holds where nothing else needs the memory
 * @param heldElsewhere the models of which another failure domain must hold a copy and says that it does
 * @param demand the concurrent sequences that each model is asked for at present
 */
public record DomainState(
        FailureDomain domain,
        SortedMap<UpstreamName, UpstreamState> upstreams,
        SortedMap<ModelName, Model> models,
        Map<ModelName, Integer> requiredCopies,
        Map<ModelName, Integer> preferredCopies,
        Set<ModelName> heldElsewhere,
        Map<ModelName, Double> demand) {

    /** Copies the collections. */
    public DomainState {
        upstreams = new TreeMap<>(upstreams);
        models = new TreeMap<>(models);
        requiredCopies = Map.copyOf(requiredCopies);
        preferredCopies = Map.copyOf(preferredCopies);
        heldElsewhere = Set.copyOf(heldElsewhere);
        demand = Map.copyOf(demand);
    }

    /**
     * Returns how many copies of a model the domain must hold.
     *
     * @param model the model
     * @return the number of copies
     */
    public int requiredCopies(ModelName model) {
        return requiredCopies.getOrDefault(model, 0);
    }
}
