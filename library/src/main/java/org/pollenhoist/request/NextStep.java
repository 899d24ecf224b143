package org.pollenhoist.request;

import java.time.Duration;
import java.util.Optional;
import org.pollenhoist.common.ErrorCode;

/** What follows after an attempt has ended. */
public sealed interface NextStep {

    /** Nothing: the caller has the whole answer. */
    record Done() implements NextStep {}

    /**
     * Another attempt, at an upstream that was not tried yet.
     *
     * @param progress the request's progress, which names the upstreams to leave out
     */
    record RetryElsewhere(RequestProgress progress) implements NextStep {}

    /**
     * The caller is told that it ends here.
     *
     * @param code the error's code
     * @param isNotRun whether it is proved that no attempt ran; otherwise the outcome is unknown
     * @param retryAfter when to come back; empty where coming back makes no sense
     */
    record GiveUp(ErrorCode code, boolean isNotRun, Optional<Duration> retryAfter) implements NextStep {}
}
