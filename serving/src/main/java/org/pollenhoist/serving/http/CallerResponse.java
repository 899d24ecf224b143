package org.pollenhoist.serving.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** Sends the response to one request of a caller. Confined to the event loop. */
public interface CallerResponse {

    /**
     * Sends a complete response.
     *
     * @param status its status code
     * @param headers its headers, without those that describe its length or transfer coding
     * @param body its body, which is released
     */
    void sendFull(int status, HttpHeaders headers, ByteBuf body);

    /**
     * Begins a response whose length is not known.
     *
     * @param status its status code
     * @param headers its headers, without those that describe its length or transfer coding
     */
    void begin(int status, HttpHeaders headers);

    /**
     * Sends a chunk of the body of a response that was begun.
     *
     * @param chunk the bytes, which are released
     */
    void sendChunk(ByteBuf chunk);

    /** Ends a response that was begun. */
    default void end() {
        endThen(() -> {});
    }

    /**
     * Ends a response that was begun.
     *
     * @param whenSent runs once the whole response was written to the socket, or can't be any more
     */
    void endThen(Runnable whenSent);

    /** Closes the connection without ending the response, so that the caller can't take it for complete. */
    void abort();

    /**
     * Sets the listener that is notified when the caller's connection stops or resumes accepting bytes.
     *
     * @param listener receives whether the connection is writable
     */
    void onWritabilityChanged(java.util.function.Consumer<Boolean> listener);
}
