package org.pollenhoist.experiments.routing;

/**
 * What one way to choose reached.
 *
 * @param strategy its name
 * @param requests measured requests
 * @param p50Milliseconds median time to the first token
 * @param p95Milliseconds 95th percentile
 * @param p99Milliseconds 99th percentile
 * @param prefixHitRate share of the prompts' blocks that were cached
 * @param otherDomainShare share of requests that left their failure domain
 */
public record StrategyResult(
        String strategy,
        long requests,
        double p50Milliseconds,
        double p95Milliseconds,
        double p99Milliseconds,
        double prefixHitRate,
        double otherDomainShare) {

    /**
     * Returns the result as a line of key=value pairs.
     *
     * @return the line
     */
    public String line() {
        return String.format(
                java.util.Locale.ROOT,
                "strategy=%s requests=%d p50_ms=%.0f p95_ms=%.0f p99_ms=%.0f prefix_hit_rate=%.3f other_domain=%.3f",
                strategy,
                requests,
                p50Milliseconds,
                p95Milliseconds,
                p99Milliseconds,
                prefixHitRate,
                otherDomainShare);
    }
}
