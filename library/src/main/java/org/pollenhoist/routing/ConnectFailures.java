package org.pollenhoist.routing;

import java.time.Duration;
import org.pollenhoist.common.MonotonicTime;

/**
 * Ejects an upstream after consecutive connect failures and lets a single probe through once the ejection has run out.
 * Not thread-safe: guarded by the table's lock.
 */
final class ConnectFailures {

    private static final int FAILURES_BEFORE_EJECTION = 2;
    private static final Duration FIRST_EJECTION = Duration.ofSeconds(1);
    private static final Duration LONGEST_EJECTION = Duration.ofSeconds(30);

    private int consecutiveFailures;
    private Duration nextEjection = FIRST_EJECTION;
    private MonotonicTime ejectedUntil;
    private boolean isProbeRunning;

    /** Whether requests may go to the upstream. */
    enum State {
        /** Any number may go. */
        CLOSED,
        /** One may go, to find out. */
        HALF_OPEN,
        /** None may go. */
        OPEN
    }

    State state(MonotonicTime now) {
        if (ejectedUntil == null) {
            return State.CLOSED;
        }
        if (isProbeRunning || now.isBefore(ejectedUntil)) {
            return State.OPEN;
        }
        return State.HALF_OPEN;
    }

    void startProbe() {
        isProbeRunning = true;
    }

    void endProbe() {
        isProbeRunning = false;
    }

    /** Counts a failure. Returns true where it begins an ejection. */
    boolean recordFailure(MonotonicTime now) {
        consecutiveFailures++;
        isProbeRunning = false;
        if (consecutiveFailures < FAILURES_BEFORE_EJECTION) {
            return false;
        }
        boolean isAlreadyEjected = ejectedUntil != null && now.isBefore(ejectedUntil);
        if (isAlreadyEjected) {
            return false;
        }
        ejectedUntil = now.plus(nextEjection);
        Duration doubled = nextEjection.multipliedBy(2);
        nextEjection = doubled.compareTo(LONGEST_EJECTION) < 0 ? doubled : LONGEST_EJECTION;
        return true;
    }

    void recordContact() {
        consecutiveFailures = 0;
        nextEjection = FIRST_EJECTION;
        ejectedUntil = null;
        isProbeRunning = false;
    }
}
