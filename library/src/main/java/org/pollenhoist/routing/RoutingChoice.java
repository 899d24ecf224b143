package org.pollenhoist.routing;

import java.time.Duration;

/** The outcome of a routing policy, before the request is counted. */
sealed interface RoutingChoice {

    /**
     * The request goes to a candidate.
     *
     * @param candidate the candidate
     * @param reason why
     */
    record Take(Candidate candidate, RoutingReason reason) implements RoutingChoice {}

    /**
     * The request goes nowhere.
     *
     * @param reason why
     * @param retryAfter when it makes sense to come back
     */
    record Refuse(RoutingReason reason, Duration retryAfter) implements RoutingChoice {}
}
