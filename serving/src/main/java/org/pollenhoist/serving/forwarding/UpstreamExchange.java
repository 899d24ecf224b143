package org.pollenhoist.serving.forwarding;

import org.pollenhoist.serving.http.HttpExchange;

/** A request to an upstream, which may have changed over from one path to another. Confined to the event loop. */
public final class UpstreamExchange {

    private HttpExchange current;
    private boolean isCancelled;
    private boolean isReading = true;

    UpstreamExchange() {}

    void attach(HttpExchange started) {
        current = started;
        if (isCancelled) {
            started.cancel();
        } else if (!isReading) {
            started.setReading(false);
        }
    }

    boolean isCancelled() {
        return isCancelled;
    }

    /**
     * Returns whether the request was passed to a connection.
     *
     * @return true if the other end may have received it
     */
    public boolean isSent() {
        return current != null && current.isSent();
    }

    /** Ends the exchange without notifying the listener; the other end stops working on the request. */
    public void cancel() {
        isCancelled = true;
        if (current != null) {
            current.cancel();
        }
    }

    /**
     * Pauses or resumes reading the response, for a receiver that is slower than the sender.
     *
     * @param reading true to read, false to pause
     */
    public void setReading(boolean reading) {
        isReading = reading;
        if (current != null) {
            current.setReading(reading);
        }
    }
}
