package org.pollenhoist.routing;

import java.time.Duration;
import org.pollenhoist.common.UpstreamName;

/** Where a request goes. */
public sealed interface RoutingDecision {

    /**
     * Why it was decided so.
     *
     * @return the reason
     */
    RoutingReason reason();

    /**
     * The request goes to an upstream.
     *
     * @param upstream the upstream
     * @param inFlight the counted place there, which the caller releases once the attempt has ended in any way
     * @param reason why
     */
    record Chosen(UpstreamName upstream, InFlightHandle inFlight, RoutingReason reason) implements RoutingDecision {}

    /**
     * No upstream can take the request now.
     *
     * @param reason why
     * @param retryAfter when it makes sense to come back
     */
    record NoUpstream(RoutingReason reason, Duration retryAfter) implements RoutingDecision {}
}
