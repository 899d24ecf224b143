package org.pollenhoist.request;

/** The result of one attempt at one upstream, as far as it can be determined from the connection. */
public sealed interface AttemptResult {

    /** Evidence that the upstream did not execute a request. */
    enum Proof {
        /** No connection could be established. */
        CONNECTION_REFUSED,
        /** A connection was established, but no byte of the request was written to it. */
        NOTHING_WRITTEN,
        /** The upstream itself stated that it did not execute the request. */
        UPSTREAM_STATEMENT
    }

    /**
     * It is proved that the request did not run.
     *
     * @param proof the evidence
     */
    record NotSent(Proof proof) implements AttemptResult {}

    /** The connection broke after bytes were written and before the response's head; the request may have run. */
    record FailedBeforeAnswer() implements AttemptResult {}

    /** The connection broke or the stream stalled after the response's head had been forwarded to the caller. */
    record StreamBroke() implements AttemptResult {}

    /**
     * The response's head did not arrive in time and the connection was closed; the request may have run or be running.
     */
    record TimedOut() implements AttemptResult {}

    /** The full response was forwarded to the caller. */
    record Answered() implements AttemptResult {}
}
