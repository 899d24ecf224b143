package org.pollenhoist.serving.http;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.ReferenceCountUtil;

/** A request and its response. Confined to the event loop. */
public final class HttpExchange {

    private final String identifier;
    private final FullHttpRequest request;
    private final ResponseListener listener;
    private HttpConnection connection;
    private boolean isSent;
    private boolean isEnded;

    HttpExchange(String identifier, FullHttpRequest request, ResponseListener listener) {
        this.identifier = identifier;
        this.request = request;
        this.listener = listener;
    }

    String identifier() {
        return identifier;
    }

    FullHttpRequest begin(HttpConnection usedConnection) {
        connection = usedConnection;
        isSent = true;
        return request;
    }

    ResponseListener listener() {
        return listener;
    }

    /**
     * Returns whether the request was passed to a connection.
     *
     * @return true if the other end may have received it
     */
    public boolean isSent() {
        return isSent;
    }

    boolean isEnded() {
        return isEnded;
    }

    void end() {
        if (!isEnded) {
            isEnded = true;
            listener.onEnd();
        }
    }

    void fail(ExchangeFailure failure, String reason) {
        if (!isEnded) {
            isEnded = true;
            releaseUnsent();
            listener.onFailure(failure, reason);
        }
    }

    /**
     * Ends the exchange without notifying the listener. The connection is reset, so that the other end stops working on
     * the request and bytes delayed by a network partition don't arrive after the cancellation.
     */
    public void cancel() {
        if (!isEnded) {
            isEnded = true;
            releaseUnsent();
            if (connection != null) {
                connection.reset();
            }
        }
    }

    private void releaseUnsent() {
        if (!isSent) {
            ReferenceCountUtil.release(request);
        }
    }

    /**
     * Pauses or resumes reading the response, for a receiver that is slower than the sender.
     *
     * @param isReading true to read, false to pause
     */
    public void setReading(boolean isReading) {
        if (connection != null && !isEnded) {
            connection.setReading(isReading);
        }
    }
}
