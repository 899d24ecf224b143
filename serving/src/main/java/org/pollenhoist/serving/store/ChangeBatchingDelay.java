package org.pollenhoist.serving.store;

import java.time.Duration;

/**
 * Computes how long a VM that has received changes waits before it asks the store for further ones, so that the changes
 * made meanwhile arrive in one batch.
 *
 * <p>The delay grows with the number of VMs, because the store limits the number of calls that all VMs together may
 * make. It is bounded so that changes are still propagated in time.
 */
public final class ChangeBatchingDelay {

    /** The delay in a fleet of at most {@link #SMALL_FLEET} VMs. */
    static final Duration MINIMUM = Duration.ofMillis(150);

    /**
     * The largest number of VMs that use the minimum delay. In larger fleets the delay grows so that the number of
     * calls per second over all VMs stays the same.
     */
    private static final int SMALL_FLEET = 9;

    /** The propagation bound divided by this number limits the delay, except that the minimum always applies. */
    private static final int BOUND_DIVISOR = 4;

    private ChangeBatchingDelay() {}

    /**
     * Returns the delay for a fleet.
     *
     * @param fleetSize number of VMs in the fleet
     * @param propagationBound the time within which a change must be known on all VMs
     * @return the delay
     */
    public static Duration of(int fleetSize, Duration propagationBound) {
        Duration scaled = MINIMUM.multipliedBy(Math.max(SMALL_FLEET, fleetSize)).dividedBy(SMALL_FLEET);
        Duration maximum = propagationBound.dividedBy(BOUND_DIVISOR);
        Duration delay = scaled.compareTo(maximum) < 0 ? scaled : maximum;
        return delay.compareTo(MINIMUM) < 0 ? MINIMUM : delay;
    }
}
