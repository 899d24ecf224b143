package org.pollenhoist.upstream;

import ratpack.http.client.StreamedResponse;

/** What became of sending a request to one upstream, up to the head of its answer. */
public sealed interface UpstreamAttempt {

    /**
     * The head of the answer is there; its body follows.
     *
     * @param response the answer
     */
    record Answered(StreamedResponse response) implements UpstreamAttempt {}

    /**
     * Nothing of the request has reached the upstream.
     *
     * @param proof what proves it
     */
    record NotSent(String proof) implements UpstreamAttempt {}

    /**
     * The upstream states that it did not run the request.
     *
     * @param status the HTTP status that came with the statement
     */
    record StatedNotRun(int status) implements UpstreamAttempt {}

    /**
     * The connection ended, or answered for another request, after the request may have been read.
     *
     * @param reason what was seen
     */
    record Broken(String reason) implements UpstreamAttempt {}

    /**
     * No head came in time; the connection was closed and is never used again.
     *
     * @param reason what was waited for
     */
    record TimedOut(String reason) implements UpstreamAttempt {}
}
