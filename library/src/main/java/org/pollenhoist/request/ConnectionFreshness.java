package org.pollenhoist.request;

import java.time.Duration;
import org.pollenhoist.common.MonotonicTime;

/**
 * Decides whether a request may go on a pooled connection. An open connection may have gone silent for good without
 * either end knowing; only bytes that came over it recently show that it still works.
 *
 * @param idempotentIdle how long after its last received byte a connection may take idempotent work
 * @param nonIdempotentIdle how long after its last received byte it may take work that must not be repeated
 */
public record ConnectionFreshness(Duration idempotentIdle, Duration nonIdempotentIdle) {

    /** What to do with the connection. */
    public enum Use {
        /** Use it. */
        REUSE,
        /** Leave it in the pool and open a fresh one. */
        OPEN_FRESH,
        /** Close it: it has been silent for too long for any work. */
        CLOSE
    }

    /**
     * Returns the bounds that the daemons use.
     *
     * @return the bounds
     */
    public static ConnectionFreshness standard() {
        return new ConnectionFreshness(Duration.ofSeconds(15), Duration.ofSeconds(1));
    }

    /**
     * Decides about a connection from the pool.
     *
     * @param isIdempotent whether the work may be repeated
     * @param lastReceived when the last byte came over the connection
     * @param now the present time
     * @return what to do
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
