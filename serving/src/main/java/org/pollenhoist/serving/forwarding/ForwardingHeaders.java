package org.pollenhoist.serving.forwarding;

import java.util.Set;

/** Headers between VMs, added to the request that a peer sends to an upstream and to the response that it passes on. */
final class ForwardingHeaders {

    /** The identifier of the upstream that is to receive the request. */
    static final String UPSTREAM = "Forwarding-Upstream";

    /** When the upstream's process started, in Unix milliseconds. */
    static final String UPSTREAM_STARTED = "Forwarding-Upstream-Started";

    /** {@code true} if the request may be repeated, so that any open connection may be used. */
    static final String REPEATABLE = "Forwarding-Repeatable";

    /** What became of the request at the peer, one of the names of {@link ForwardingOutcome}. */
    static final String OUTCOME = "Forwarding-Outcome";

    /** {@code false} if the upstream's response has neither a length nor chunks and ended with its connection. */
    static final String EXPLICIT_END = "Forwarding-Explicit-End";

    /** All of them, in lower case. */
    static final Set<String> ALL = Set.of(
            "forwarding-upstream",
            "forwarding-upstream-started",
            "forwarding-repeatable",
            "forwarding-outcome",
            "forwarding-explicit-end");

    private ForwardingHeaders() {}
}
