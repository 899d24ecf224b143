package org.pollenhoist.serving.returns;

import java.time.Duration;
import java.util.OptionalDouble;
import org.pollenhoist.common.MonotonicTime;

/**
 * The rate at which this VM has lately started requests in a pool: the greater one of the rates over a long and a short
 * period. Before a burst fills the pool, the long one shows how much was asked of it rather than how much it can take.
 */
final class StartRate {

    private static final Duration LONG_PERIOD = Duration.ofSeconds(10);
    private static final Duration SHORT_PERIOD = Duration.ofSeconds(2);

    /** Number of starts in the long period below which chance decides the rate. */
    private static final double MINIMUM_STARTS = 2;

    /** The first starts tell no rate over a shorter time than this. */
    private static final double MINIMUM_SECONDS = 1;

    private final DecayingCount longCount = new DecayingCount(LONG_PERIOD);
    private final DecayingCount shortCount = new DecayingCount(SHORT_PERIOD);

    void recordStart(MonotonicTime now) {
        longCount.increment(now);
        shortCount.increment(now);
    }

    /**
     * Returns the rate.
     *
     * @param now the present time
     * @return starts a second, or empty if too few are known
     */
    OptionalDouble perSecond(MonotonicTime now) {
        return longCount.at(now) < MINIMUM_STARTS
                ? OptionalDouble.empty()
                : OptionalDouble.of(Math.max(longCount.perSecond(now), shortCount.perSecond(now)));
    }

    /** A count in which an event weighs less the longer ago it was. */
    private static final class DecayingCount {

        private final double periodSeconds;
        private MonotonicTime firstAt;
        private MonotonicTime lastAt;
        private double lastCount;

        private DecayingCount(Duration period) {
            periodSeconds = period.toSeconds();
        }

        private void increment(MonotonicTime now) {
            if (firstAt == null) {
                firstAt = now;
            }
            lastCount = at(now) + 1;
            lastAt = now;
        }

        private double at(MonotonicTime now) {
            return lastAt == null ? 0 : lastCount * Math.exp(-now.secondsSince(lastAt) / periodSeconds);
        }

        private double perSecond(MonotonicTime now) {
            double observedSeconds = Math.max(MINIMUM_SECONDS, now.secondsSince(firstAt));
            return at(now) / (periodSeconds * (1 - Math.exp(-observedSeconds / periodSeconds)));
        }
    }
}
