package org.pollenhoist.request;

import java.time.Duration;
import org.pollenhoist.common.MonotonicTime;

/**
 * Decides whether a request may be sent on a pooled connection. An open connection may be dead without either end
 * having noticed; only recently received bytes show that it still works.
 *
 * @param idempotentIdle how long after its last received byte a connection may be used for idempotent requests
 * @param nonIdempotentIdle how long after its last received byte it may be used for requests that are not idempotent
 */
public record ConnectionFreshness(Duration idempotentIdle, Duration nonIdempotentIdle) {

    /** What to do with a pooled connection. */
    public enum Use {
        /** Send the request on it. */
        REUSE,
        /** Leave it in the pool and open a new connection. */
        OPEN_FRESH,
        /** Close it, since it has been idle for too long for any request. */
        CLOSE
    }

    /**
     * Returns the limits that the daemons use.
     *
     * @return the limits
     */
    public static ConnectionFreshness standard() {
        return new ConnectionFreshness(Duration.ofSeconds(15), Duration.ofSeconds(1));
    }

    /**
     * Decides whether a connection from the pool may be used.
     *
     * @param isIdempotent whether the request is idempotent
     * @param lastReceived when the last byte was received on the connection
     * @param now the current time
     * @return what to do with the connection
     */
    public Use decide(boolean isIdempotent, MonotonicTime lastReceived, MonotonicTime now) {
        Duration idle = now.since(lastReceived);
        if (idle.compareTo(idempotentIdle) > 0) {
            return Use.CLOSE;
        }
        if (!isIdempotent && idle.compareTo(nonIdempotentIdle) > 0) {
            return Use.OPEN_FRESH;
        }
        return Use.REUSE;
    }
}
