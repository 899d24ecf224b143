package org.pollenhoist.serving.upstream;

import org.pollenhoist.common.MonotonicTime;

/** Failure rate of the attempts at one upstream, with exponential decay. Confined to the event loop. */
final class DecayingFailureRate {

    /** Time after which an attempt counts half as much. */
    private static final double HALF_LIFE_SECONDS = 2;

    private double failures;
    private double attempts;
    private MonotonicTime decayedAt;

    DecayingFailureRate(MonotonicTime now) {
        this.decayedAt = now;
    }

    void record(boolean isFailure, MonotonicTime now) {
        decay(now);
        attempts++;
        if (isFailure) {
            failures++;
        }
    }

    /** Returns the fraction of recent attempts that failed, biased towards 0 while there are few attempts. */
    double rate(MonotonicTime now) {
        decay(now);
        return failures / (attempts + 2);
    }

    private void decay(MonotonicTime now) {
        double seconds = now.secondsSince(decayedAt);
        if (seconds > 0) {
            double remaining = Math.pow(0.5, seconds / HALF_LIFE_SECONDS);
            failures *= remaining;
            attempts *= remaining;
            decayedAt = now;
        }
    }
}
