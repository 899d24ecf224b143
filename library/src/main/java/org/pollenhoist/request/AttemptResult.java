package org.pollenhoist.request;

/** How one attempt at one upstream ended, as far as can be known from its connection. */
public sealed interface AttemptResult {

    /** Evidence that a request did not run. */
    enum Proof {
        /** No connection came about. */
        CONNECTION_REFUSED,
        /** A connection came about, but no byte of the request was written to it. */
        NOTHING_WRITTEN,
        /** The upstream said so itself. */
        UPSTREAM_STATEMENT
    }

    /**
     * The request did not run, and this is proved.
     *
     * @param proof the evidence
     */
    record NotSent(Proof proof) implements AttemptResult {}

    /** The connection broke after something was written and before the answer's head; the request may have run. */
    record FailedBeforeAnswer() implements AttemptResult {}

    /** The answer's head was passed on, and then the connection broke or the stream stalled. */
    record StreamBroke() implements AttemptResult {}

    /** No answer's head came in time, and the connection was closed; the request may have run or still run. */
    record TimedOut() implements AttemptResult {}

    /** The whole answer was passed on. */
    record Answered() implements AttemptResult {}
}
