package org.pollenhoist.request;

import java.time.Duration;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.PollenhoistException;

/**
 * The time limits of a planned stop. The supervisor's grace period must exceed the whole sequence, and draining must
 * last at least as long as the longest request that is guaranteed to finish.
 *
 * @param propagation how long the load balancer and the peers may continue to send requests after the VM is unready
 * @param closing how long responses ask callers to close their keep-alive connections before the hand-over starts
 * @param handingOver time limit for handing over shares of rate limits and leases
 * @param draining time limit for running requests
 * @param longStreams time limit for running streams, measured from the start of draining
 * @param supervisorGrace how long the supervisor waits before it kills the process
 */
public record DrainBounds(
        Duration propagation,
        Duration closing,
        Duration handingOver,
        Duration draining,
        Duration longStreams,
        Duration supervisorGrace) {

    /** Checks that the grace period exceeds the whole sequence. */
    public DrainBounds {
        Duration longest = draining.compareTo(longStreams) > 0 ? draining : longStreams;
        Duration sequence = propagation.plus(closing).plus(handingOver).plus(longest);
        if (sequence.compareTo(supervisorGrace) >= 0) {
            throw graceTooShort(sequence, supervisorGrace);
        }
    }

    /**
     * Checks that draining lasts at least as long as the longest deadline of a profile.
     *
     * @param longestDeadline the longest deadline of all profiles
     * @throws PollenhoistException with {@link ErrorCode#INVALID_CONFIGURATION} if it does not
     */
    public void requireOutlasts(Duration longestDeadline) {
        if (longStreams.compareTo(longestDeadline) < 0) {
            throw new PollenhoistException(
                    ErrorCode.INVALID_CONFIGURATION,
                    "drain bound of streams is " + longStreams.toMillis()
                            + " ms, expected at least the longest deadline of a profile, "
                            + longestDeadline.toMillis() + " ms");
        }
    }

    private static PollenhoistException graceTooShort(Duration sequence, Duration grace) {
        return new PollenhoistException(
                ErrorCode.INVALID_CONFIGURATION,
                "supervisor's grace is " + grace.toMillis() + " ms, expected more than the stop sequence of "
                        + sequence.toMillis() + " ms");
    }
}
