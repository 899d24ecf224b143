package org.pollenhoist.placement;

import java.util.Map;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.configuration.Configuration;

/**
 * What a placement round needs besides the engines' reports.
 *
 * @param configuration the configuration in force
 * @param configurationRevision its revision
 * @param demand the concurrent sequences that callers of this failure domain ask of each model
 */
public record RoundInput(Configuration configuration, long configurationRevision, Map<ModelName, Double> demand) {

    /** Copies the demand. */
    public RoundInput {
        demand = Map.copyOf(demand);
    }
}
