package org.pollenhoist.serving.request;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** How callers and upstreams write what goes beside method, path and body. Implemented by the platform's adapter. */
public interface RequestFormat {

    /**
     * Reads what a caller says of its request.
     *
     * @param head the request's head
     * @return what it says
     * @throws org.pollenhoist.common.PollenhoistException with {@code INVALID_REQUEST} where a header is malformed
     */
    CallerRequest read(HttpRequest head);

    /**
     * Writes the headers of a request to an upstream.
     *
     * @param callerHeaders what the caller sent
     * @param forwarding what is added
     * @param upstreamHeaders receives the headers
     */
    void forward(HttpHeaders callerHeaders, ForwardingMetadata forwarding, HttpHeaders upstreamHeaders);

    /**
     * Reads an upstream's answer.
     *
     * @param head the answer's head
     * @return what it says of itself
     */
    ResponseHead readResponse(HttpResponse head);

    /**
     * Marks an answer of this system with the request it belongs to.
     *
     * @param headers the answer's headers
     * @param requestIdentifier the request
     */
    void addRequestIdentifier(HttpHeaders headers, String requestIdentifier);
}
