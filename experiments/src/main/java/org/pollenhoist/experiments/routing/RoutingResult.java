package org.pollenhoist.experiments.routing;

import java.util.List;

/**
 * The results of all ways to choose over the same trace.
 *
 * @param deployment the deployment's name
 * @param seed the seed of trace and choices
 * @param strategies one result each
 */
public record RoutingResult(String deployment, long seed, List<StrategyResult> strategies) {

    /** Copies the list. */
    public RoutingResult {
        strategies = List.copyOf(strategies);
    }

    /**
     * Returns the result of one way to choose.
     *
     * @param strategy its name
     * @return its result
     */
    public StrategyResult of(String strategy) {
        return strategies.stream()
                .filter(result -> result.strategy().equals(strategy))
                .findFirst()
                .orElseThrow();
    }
}
