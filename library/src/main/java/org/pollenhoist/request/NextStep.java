package org.pollenhoist.request;

import java.time.Duration;
import java.util.Optional;
import org.pollenhoist.common.ErrorCode;

/** The next step of a request after one of its attempts has ended. */
public sealed interface NextStep {

    /** The request is complete: the caller has received the full response. */
    record Done() implements NextStep {}

    /**
     * Another attempt is made, at an upstream that was not tried yet.
     *
     * @param progress the request's progress, which contains the upstreams to exclude
     */
    record RetryElsewhere(RequestProgress progress) implements NextStep {}

    /**
     * The request ends with an error response.
     *
     * @param code the error code
     * @param isNotRun whether it is proved that no upstream executed the request; otherwise its outcome is unknown
     * @param retryAfter the time after which the caller may retry; empty if a retry is not useful
     */
    record GiveUp(ErrorCode code, boolean isNotRun, Optional<Duration> retryAfter) implements NextStep {}
}
