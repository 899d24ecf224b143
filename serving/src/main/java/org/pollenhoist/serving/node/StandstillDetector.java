package org.pollenhoist.serving.node;

import java.time.Duration;
import org.pollenhoist.common.MonotonicTime;

/**
 * Notices that this process stood still, by the time between two runs of the periodic task. What a process finds in its
 * sockets afterwards may be as old as the standstill.
 */
final class StandstillDetector {

    /** The periodic task runs every 50 ms; a longer gap than this is not caused by load. */
    private static final Duration MAXIMUM_GAP = Duration.ofMillis(500);

    /** Time after a standstill until everything that peers have sent before has been read or counts as outdated. */
    private static final Duration SETTLING_TIME = Duration.ofSeconds(1);

    private MonotonicTime tickedAt;
    private MonotonicTime settledAt;

    StandstillDetector(MonotonicTime now) {
        tickedAt = now;
        settledAt = now;
    }

    void tick(MonotonicTime now) {
        if (isGap(now)) {
            settledAt = now.plus(SETTLING_TIME);
        }
        tickedAt = now;
    }

    private boolean isGap(MonotonicTime now) {
        return now.since(tickedAt).compareTo(MAXIMUM_GAP) > 0;
    }

    /** Returns whether the process runs and has run for long enough that what it has heard from peers is recent. */
    boolean isSettled(MonotonicTime now) {
        return !isGap(now) && !now.isBefore(settledAt);
    }
}
