package org.pollenhoist.serving.http;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.ReferenceCountUtil;

/** One request and its answer. Confined to the event loop. */
public final class HttpExchange {

    private final FullHttpRequest request;
    private final ResponseListener listener;
    private HttpConnection connection;
    private boolean isSent;
    private boolean isEnded;

    HttpExchange(FullHttpRequest request, ResponseListener listener) {
        this.request = request;
        this.listener = listener;
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
     * Tells whether the request was given to a connection.
     *
     * @return true where the other end may have received it
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

    /** Ends the exchange without a word to the listener; the connection is reset, so that the other end stops
     * and bytes that a partition holds up do not arrive after it. */
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
     * Stops or goes on reading the answer, for a receiver that is slower than the sender.
     *
     * @param isReading whether to read
     */
    public void setReading(boolean isReading) {
        if (connection != null && !isEnded) {
            connection.setReading(isReading);
        }
    }
}
