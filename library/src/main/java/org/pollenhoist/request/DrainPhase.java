package org.pollenhoist.request;

import java.util.Locale;

/** The phases of a planned stop, in order. */
public enum DrainPhase {
    /** Ready and serving. */
    SERVING,
    /** Announces to the load balancer and the peers that it is not ready; still serves all requests. */
    UNREADY,
    /** Still serves all requests; closes each keep-alive connection with its next response. */
    CLOSING,
    /** Hands over its shares of rate limits and its leases; still serves all requests. */
    HANDING_OVER,
    /** Accepts no new connections; running requests finish. */
    DRAINING,
    /** No request is running; the process may exit. */
    STOPPED;

    /**
     * Returns the phase as written to logs and metrics.
     *
     * @return the phase in lower case with underscores
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns whether the readiness check succeeds.
     *
     * @return true while the load balancer may send new requests
     */
    public boolean isReady() {
        return this == SERVING;
    }

    /**
     * Returns whether responses carry {@code Connection: close}.
     *
     * @return true in {@link #CLOSING} and all later phases
     */
    public boolean closesConnections() {
        return compareTo(CLOSING) >= 0;
    }

    /**
     * Returns whether new connections are accepted.
     *
     * @return true in all phases before {@link #DRAINING}
     */
    public boolean acceptsConnections() {
        return compareTo(DRAINING) < 0;
    }
}
