package org.pollenhoist.request;

import java.util.HashSet;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;

/**
 * What one request has been through.
 *
 * @param isIdempotent whether it may run more than once
 * @param deadline when its caller stops waiting
 * @param attempts how many attempts were begun
 * @param tried the upstreams that were tried
 * @param mayHaveRun whether some attempt ended without proof that it did not run
 */
public record RequestProgress(
        boolean isIdempotent, MonotonicTime deadline, int attempts, Set<UpstreamName> tried, boolean mayHaveRun) {

    /** Copies the set. */
    public RequestProgress {
        tried = Set.copyOf(tried);
    }

    /**
     * Returns the progress of a request that was not tried yet.
     *
     * @param isIdempotent whether it may run more than once
     * @param deadline when its caller stops waiting
     * @return the progress
     */
    public static RequestProgress start(boolean isIdempotent, MonotonicTime deadline) {
        return new RequestProgress(isIdempotent, deadline, 0, Set.of(), false);
    }

    /**
     * Returns the progress with one more attempt begun.
     *
     * @param upstream where
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
