package org.pollenhoist.serving.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;

/** Receives one response on the event loop. {@link #onEnd} or {@link #onFailure} is the last call. */
public interface ResponseListener {

    /**
     * The head of a response was received.
     *
     * @param head status and headers
     * @param use what the connection carried before
     * @return false if the response belongs to another request; it is then discarded, and the next one is awaited
     */
    boolean onHead(HttpResponse head, ConnectionUse use);

    /**
     * Returns how long another response may take to begin after {@link #onHead} has discarded one, which may have been
     * the awaited one.
     *
     * @return the time after which the exchange fails, empty if it is not limited
     */
    default Optional<Duration> maximumWaitAfterDiscarding() {
        return Optional.empty();
    }

    /**
     * A chunk of the body was received.
     *
     * @param chunk the bytes; released by the caller of this method
     */
    void onBody(ByteBuf chunk);

    /** The response was received completely. */
    void onEnd();

    /**
     * The exchange failed.
     *
     * @param failure how far the exchange had proceeded
     * @param reason the failure that was observed
     */
    void onFailure(ExchangeFailure failure, String reason);
}
