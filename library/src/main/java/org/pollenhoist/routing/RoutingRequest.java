package org.pollenhoist.routing;

import java.util.List;
import java.util.Set;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.UpstreamName;

/**
 * The features of a request that matter for its routing.
 *
 * @param target what the request needs
 * @param prefixFingerprints hashes of the prompt's leading blocks, each over all bytes up to the block's end, the
 *     shortest prefix first; empty for a plain service
 * @param priority 0 (runs last) to 9 (runs first)
 * @param origin the failure domain of the VM that routes
 * @param excluded upstreams that may not be chosen: those tried already and those a suspect request may not take
 */
public record RoutingRequest(
        RoutingTarget target,
        List<Long> prefixFingerprints,
        int priority,
        FailureDomain origin,
        Set<UpstreamName> excluded) {

    /** Copies the collections. */
    public RoutingRequest {
        prefixFingerprints = List.copyOf(prefixFingerprints);
        excluded = Set.copyOf(excluded);
    }

    /**
     * Returns a request without prefix and exclusions.
     *
     * @param target what the request needs
     * @param priority 0 to 9
     * @param origin the failure domain of the VM that routes
     * @return the request
     */
    public static RoutingRequest of(RoutingTarget target, int priority, FailureDomain origin) {
        return new RoutingRequest(target, List.of(), priority, origin, Set.of());
    }

    /**
     * Returns the same request with other exclusions.
     *
     * @param upstreams upstreams that may not be chosen
     * @return the request
     */
    public RoutingRequest excluding(Set<UpstreamName> upstreams) {
        return new RoutingRequest(target, prefixFingerprints, priority, origin, upstreams);
    }

    /**
     * Returns the same request with the fingerprints of its prompt's leading blocks.
     *
     * @param fingerprints the fingerprints, the shortest prefix first
     * @return the request
     */
    public RoutingRequest withPrefix(List<Long> fingerprints) {
        return new RoutingRequest(target, fingerprints, priority, origin, excluded);
    }
}
