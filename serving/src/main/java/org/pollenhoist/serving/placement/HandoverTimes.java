package org.pollenhoist.serving.placement;

import java.time.Duration;

/**
 * The times that keep the orders of two leaders apart.
 *
 * @param handoverInterval the minimum time between the last order of one leader and the first order of the next
 */
record HandoverTimes(Duration handoverInterval) {

    /**
     * The leader sends orders only in the first of this many equal parts of its lease. The time without orders of a
     * failed leader is counted from the end of that part.
     */
    private static final int ORDERING_TIME_DIVISOR = 2;

    /** Tolerance for clock drift, subtracted from the time without orders before a claim expires. */
    private static final Duration CLOCK_TOLERANCE = Duration.ofMillis(200);

    /** Renewals during one lease, so that the loss of a single renewal does not interrupt orders. */
    private static final int RENEWALS_PER_LEASE = 6;

    /** Returns how long a leader sends orders after the renewal of a lease. */
    static Duration orderingTime(Duration leaseTime) {
        return leaseTime.dividedBy(ORDERING_TIME_DIVISOR);
    }

    static Duration renewalInterval(Duration leaseTime) {
        return leaseTime.dividedBy(RENEWALS_PER_LEASE);
    }

    /** Returns the minimum time for which a VM has sent no orders when its claim expires. */
    Duration minimumSilenceAtExpiry() {
        return handoverInterval.minus(orderingTime(handoverInterval)).minus(CLOCK_TOLERANCE);
    }
}
