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
 * @param affineUpstreams how many upstreams are preferred for prompts with the same beginning
 * @param affineShare the share of a prompt that is expected to be cached at the first of them
 * @param retryAfter when a request that found no upstream should come back
 */
public record RoutingPolicy(
        Duration perRequest,
        Duration perBlock,
        Duration adapterLoad,
        Duration otherDomain,
        Duration reportHalfLife,
        int samples,
        int affineUpstreams,
        double affineShare,
        Duration retryAfter) {

    /**
     * Returns the prices that the daemons use.
     *
     * @return the policy
     */
    public static RoutingPolicy standard() {
        return new RoutingPolicy(
                Duration.ofMillis(8),
                Duration.ofMillis(5),
                Duration.ofMillis(12),
                Duration.ofMillis(20),
                Duration.ofSeconds(2),
                3,
                2,
                0.8,
                Duration.ofSeconds(1));
    }
}
