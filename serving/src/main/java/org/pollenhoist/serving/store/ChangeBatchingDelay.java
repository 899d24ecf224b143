package org.pollenhoist.serving.store;

import java.time.Duration;

/**
 * How long a VM lets changes gather in the store before it asks for them again.
 *
 * <p>Answers fleets whose VMs together would ask the store more often than it allows: the pause grows with the fleet,
 * as far as changes still come to be known in time.
 */
public final class ChangeBatchingDelay {

    /** Pause of a VM in a small fleet. */
    static final Duration SHORTEST = Duration.ofMillis(150);

    /** VMs that may ask with the shortest pause; calls a second over all VMs stay the same in larger fleets. */
    private static final int SMALL_FLEET = 9;

    /** Part of the time within which changes have to be known that may pass before they are asked for. */
    private static final int PART_OF_BOUND = 4;

    private ChangeBatchingDelay() {}

    /**
     * Returns the pause.
     *
     * @param fleetSize how many VMs the fleet has
     * @param bound the time within which changes have to be known on all VMs
     * @return the pause
     */
    public static Duration of(int fleetSize, Duration bound) {
        Duration grown = SHORTEST.multipliedBy(Math.max(SMALL_FLEET, fleetSize)).dividedBy(SMALL_FLEET);
        Duration longest = bound.dividedBy(PART_OF_BOUND);
        Duration pause = grown.compareTo(longest) < 0 ? grown : longest;
        return pause.compareTo(SHORTEST) < 0 ? SHORTEST : pause;
    }
}
