package org.pollenhoist.serving.upstream;

import org.pollenhoist.common.MonotonicTime;

/** How attempts at one upstream ended lately; older ones count less and less. Confined to the event loop. */
final class DecayingFailureRate {

    /** Time in which half of the memory of failures fades. */
    private static final double HALF_LIFE_SECONDS = 2;

    private double failures;
    private double attempts;
    private MonotonicTime fadedAt;

    DecayingFailureRate(MonotonicTime now) {
        this.fadedAt = now;
    }

    void record(boolean isFailure, MonotonicTime now) {
        fade(now);
        attempts++;
        if (isFailure) {
            failures++;
        }
    }

    /** The part of recent attempts that failed, pulled towards 0 while few attempts were made. */
    double rate(MonotonicTime now) {
        fade(now);
        return failures / (attempts + 2);
    }

    private void fade(MonotonicTime now) {
        double seconds = now.secondsSince(fadedAt);
        if (seconds > 0) {
            double kept = Math.pow(0.5, seconds / HALF_LIFE_SECONDS);
            failures *= kept;
            attempts *= kept;
            fadedAt = now;
        }
    }
}
