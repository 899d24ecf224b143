package org.pollenhoist.request;

import java.util.Locale;

/** The phases of a planned stop, in their order. */
public enum DrainPhase {
    /** Ready and serving. */
    SERVING,
    /** Tells balancer and peers that it is not ready, and serves on as before. */
    UNREADY,
    /** Serves on, and closes each kept-alive connection with its next answer. */
    CLOSING,
    /** Hands shares and leases over, and serves on. */
    HANDING_OVER,
    /** Accepts no connection; running requests finish. */
    DRAINING,
    /** Nothing runs any more; the process may end. */
    STOPPED;

    /**
     * Returns the phase as it stands in logs and metrics.
     *
     * @return the phase in lower case with underscores
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Tells whether the readiness check succeeds.
     *
     * @return true while the balancer may send new work
     */
    public boolean isReady() {
        return this == SERVING;
    }

    /**
     * Tells whether answers carry {@code Connection: close}.
     *
     * @return true from closing on
     */
    public boolean closesConnections() {
        return compareTo(CLOSING) >= 0;
    }

    /**
     * Tells whether new connections are accepted.
     *
     * @return true before draining
     */
    public boolean acceptsConnections() {
        return compareTo(DRAINING) < 0;
    }
}
