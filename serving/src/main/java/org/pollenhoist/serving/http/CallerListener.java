package org.pollenhoist.serving.http;

/** Receives the requests of callers on the event loop. */
public interface CallerListener {

    /**
     * A request was read whole.
     *
     * @param request the request
     * @param answer takes the answer
     * @return receives the news that the caller has gone
     */
    Runnable onRequest(IncomingRequest request, CallerResponse answer);
}
