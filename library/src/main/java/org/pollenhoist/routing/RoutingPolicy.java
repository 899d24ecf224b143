package org.pollenhoist.routing;

import java.time.Duration;

/**
 * The prices of the cost model. All are expected delays of the first token.
 *
 * @param perRequest delay by each request that runs or waits at the upstream
 * @param perBlock delay by each leading block of the prompt that has to be computed
 * @param adapterLoad delay by loading an adapter
 * @param otherDomain price of leaving the failure domain
 * @param reportHalfLife age at which a report counts half, the mean over the candidates the other half
 * @param samples how many random candidates are compared
 * @param retryAfter when a request that found no upstream should come back
 */
public record RoutingPolicy(
        Duration perRequest,
        Duration perBlock,
        Duration adapterLoad,
        Duration otherDomain,
        Duration reportHalfLife,
        int samples,
        Duration retryAfter) {

    /**
     * Returns the prices that the daemons use.
     *
     * @return the policy
     */
    public static RoutingPolicy standard() {
        return new RoutingPolicy(
                Duration.ofMillis(20),
                Duration.ofMillis(8),
                Duration.ofMillis(20),
                Duration.ofMillis(40),
                Duration.ofSeconds(2),
                3,
                Duration.ofSeconds(1));
    }
}
