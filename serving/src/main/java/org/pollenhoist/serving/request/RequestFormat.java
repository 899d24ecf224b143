package org.pollenhoist.serving.request;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Set;

/** Reads and writes the headers that carry metadata of requests and responses. Implemented by the platform adapter. */
public interface RequestFormat {

    /**
     * Reads the metadata of a caller's request.
     *
     * @param head the request's head
     * @return the metadata
     * @throws org.pollenhoist.common.PollenhoistException with {@code INVALID_REQUEST} if a header is malformed
     */
    CallerRequest read(HttpRequest head);

    /**
     * Writes the headers of a request to an upstream.
     *
     * @param callerHeaders the headers that the caller sent
     * @param forwarding the metadata to add
     * @param upstreamHeaders receives the headers
     */
    void forward(HttpHeaders callerHeaders, ForwardingMetadata forwarding, HttpHeaders upstreamHeaders);

    /**
     * Reads the head of an upstream's response.
     *
     * @param head the response's head
     * @return its status and metadata
     */
    ResponseHead readResponse(HttpResponse head);

    /**
     * Returns the fields that an event of a stream may have besides those of server-sent events.
     *
     * @return their names
     */
    Set<String> eventFields();

    /**
     * Adds the identifier of a request to a response that this system creates itself.
     *
     * @param headers the response's headers
     * @param requestIdentifier the request's identifier
     */
    void addRequestIdentifier(HttpHeaders headers, String requestIdentifier);
}
