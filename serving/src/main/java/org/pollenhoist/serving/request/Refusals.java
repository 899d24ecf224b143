package org.pollenhoist.serving.request;

import java.time.Duration;
import org.pollenhoist.caller.Refusal;
import org.pollenhoist.common.ErrorCode;

/** The refusals of requests that were admitted. */
final class Refusals {

    /** Retry-After without a better estimate. The load balancer and the store pass on changes in less time. */
    static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(500);

    /** Retry-After while this process stops. Short, since the load balancer sends the retry to another process. */
    private static final Duration STOPPING_RETRY_AFTER = Duration.ofMillis(50);

    private Refusals() {}

    static Refusal stopping() {
        return Refusal.notRunRetryAfter(ErrorCode.NOT_READY, "the process is stopping", STOPPING_RETRY_AFTER);
    }

    static Refusal failed(String reason, boolean mayHaveRun, Duration retryAfter) {
        return mayHaveRun
                ? Refusal.outcomeUnknown(ErrorCode.OUTCOME_UNKNOWN, "the request may have run: " + reason)
                : Refusal.notRunRetryAfter(
                        ErrorCode.UPSTREAM_UNAVAILABLE, "the request can't be served now: " + reason, retryAfter);
    }

    static Refusal expired(boolean mayHaveRun) {
        return mayHaveRun
                ? Refusal.outcomeUnknown(ErrorCode.DEADLINE_EXCEEDED, "no response before the deadline")
                : Refusal.notRunRetryAfter(ErrorCode.OVERLOADED, "no upstream was free in time", DEFAULT_RETRY_AFTER);
    }
}
