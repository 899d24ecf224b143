package org.pollenhoist.common;

import java.util.Locale;

/** The stable codes of all errors that callers, operators and embedding programs may see. */
public enum ErrorCode {
    /** A name does not have the form that all names share. */
    INVALID_NAME,
    /** Settings or a configuration were rejected; the findings say why. */
    INVALID_CONFIGURATION,
    /** The request is malformed. */
    INVALID_REQUEST,
    /** The request's header or body is larger than allowed. */
    REQUEST_TOO_LARGE,
    /** The request was not sent whole in time. */
    REQUEST_TIMEOUT,
    /** No key came with the request, or the key is unknown or withdrawn. */
    UNAUTHORIZED,
    /** The team may not use the profile, model or route. */
    FORBIDDEN,
    /** No such model, route or profile. */
    NOT_FOUND,
    /** The team's rate or burst is exhausted. */
    RATE_LIMITED,
    /** No capacity in time; the request was given up. */
    OVERLOADED,
    /** The process has no configuration yet or is stopping. */
    NOT_READY,
    /** No upstream that can serve the request can be reached. */
    UPSTREAM_UNAVAILABLE,
    /** The request may have run, and its outcome is not known. */
    OUTCOME_UNKNOWN,
    /** The answer broke off or stalled. */
    ANSWER_INCOMPLETE,
    /** The request made upstreams crash and is not run again. */
    REQUEST_QUARANTINED,
    /** A request with the same idempotency key is running or ended with an outcome that can't be repeated. */
    IDEMPOTENCY_CONFLICT,
    /** The deadline passed. */
    DEADLINE_EXCEEDED,
    /** Another operator's change came first. */
    REVISION_CONFLICT,
    /** The platform's service could not be reached or did not answer in time. */
    PLATFORM_UNAVAILABLE,
    /** A fault of this software. */
    INTERNAL;

    /**
     * Returns the code as it stands in answers, logs and metrics.
     *
     * @return the code in lower case with underscores, for example {@code rate_limited}
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
