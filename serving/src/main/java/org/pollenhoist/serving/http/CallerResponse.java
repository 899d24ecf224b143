package org.pollenhoist.serving.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** Takes the one answer to a request, on the event loop. */
public interface CallerResponse {

    /**
     * Sends a whole answer.
     *
     * @param status its status
     * @param headers its headers, without framing
     * @param body its body, which is released
     */
    void sendFull(int status, HttpHeaders headers, ByteBuf body);

    /**
     * Begins an answer whose length is not known.
     *
     * @param status its status
     * @param headers its headers, without framing
     */
    void begin(int status, HttpHeaders headers);

    /**
     * Sends a part of an answer that was begun.
     *
     * @param part the bytes, which are released
     */
    void sendChunk(ByteBuf part);

    /** Ends an answer that was begun. */
    void end();

    /** Breaks an answer off so that the caller cannot take it for complete. */
    void abort();

    /**
     * Sets what is to be done when the caller's connection can't take more, or can again.
     *
     * @param listener receives true while it can take more
     */
    void onWritabilityChanged(java.util.function.Consumer<Boolean> listener);
}
