package org.pollenhoist.serving.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives one answer on the event loop. After {@link #onEnd} or {@link #onFailure} nothing follows. */
public interface ResponseListener {

    /**
     * The head of an answer came.
     *
     * @param head status and headers
     * @return false where the answer belongs to another request; it is dropped then and the next one awaited
     */
    boolean onHead(HttpResponse head);

    /**
     * A part of the body came.
     *
     * @param part the bytes; released by the caller of this method
     */
    void onBody(ByteBuf part);

    /** The answer is complete. */
    void onEnd();

    /**
     * The exchange failed.
     *
     * @param failure how far it had come
     * @param reason what was seen
     */
    void onFailure(ExchangeFailure failure, String reason);
}
