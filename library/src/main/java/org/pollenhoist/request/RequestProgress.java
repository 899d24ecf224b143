package org.pollenhoist.request;

import java.util.HashSet;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;

/**
 * The attempts that were made for one request so far.
 *
 * @param isIdempotent whether the request may be executed more than once
 * @param deadline the time until which its caller waits
 * @param attempts the number of attempts started
 * @param tried the upstreams of these attempts
 * @param mayHaveRun whether an attempt ended without proof that the upstream did not execute the request
 */
public record RequestProgress(
        boolean isIdempotent, MonotonicTime deadline, int attempts, Set<UpstreamName> tried, boolean mayHaveRun) {

    /** Copies the set. */
    public RequestProgress {
        tried = Set.copyOf(tried);
    }

    /**
     * Returns the progress of a request without any attempt.
     *
     * @param isIdempotent whether the request may be executed more than once
     * @param deadline the time until which its caller waits
     * @return the progress
     */
    public static RequestProgress start(boolean isIdempotent, MonotonicTime deadline) {
        return new RequestProgress(isIdempotent, deadline, 0, Set.of(), false);
    }

    /**
     * Returns the progress after another attempt has started.
     *
     * @param upstream the upstream of the attempt
     * @return the progress
     */
    public RequestProgress attempting(UpstreamName upstream) {
        Set<UpstreamName> all = new HashSet<>(tried);
        all.add(upstream);
        return new RequestProgress(isIdempotent, deadline, attempts + 1, all, mayHaveRun);
    }

    RequestProgress afterUnprovedFailure() {
        return new RequestProgress(isIdempotent, deadline, attempts, tried, true);
    }
}
