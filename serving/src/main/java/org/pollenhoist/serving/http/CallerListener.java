package org.pollenhoist.serving.http;

/** Receives callers' requests on the event loop. */
public interface CallerListener {

    /**
     * A request was read completely.
     *
     * @param request the request
     * @param response sends the response
     * @return the action to run if the caller closes the connection before the response has ended
     */
    Runnable onRequest(IncomingRequest request, CallerResponse response);
}
