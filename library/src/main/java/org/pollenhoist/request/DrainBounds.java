package org.pollenhoist.request;

import java.time.Duration;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.PollenhoistException;

/**
 * The durations of a planned stop. They nest: what the supervisor grants exceeds the whole sequence, and draining
 * exceeds the longest request that is promised to finish.
 *
 * @param propagation how long the balancer and the peers may go on sending after the VM is unready
 * @param closing how long kept-alive connections are told to close before hand-over
 * @param handingOver bound on handing over shares and leases
 * @param draining bound on running requests
 * @param longStreams bound on running streams, counted from the beginning of draining
 * @param supervisorGrace how long the supervisor waits before it kills
 */
public record DrainBounds(
        Duration propagation,
        Duration closing,
        Duration handingOver,
        Duration draining,
        Duration longStreams,
        Duration supervisorGrace) {

    /** Checks that the bounds nest. */
    public DrainBounds {
        Duration longest = draining.compareTo(longStreams) > 0 ? draining : longStreams;
        Duration sequence = propagation.plus(closing).plus(handingOver).plus(longest);
        if (sequence.compareTo(supervisorGrace) >= 0) {
            throw graceTooShort(sequence, supervisorGrace);
        }
    }

    /**
     * Checks that draining outlasts the longest request that a profile promises to finish.
     *
     * @param longestDeadline the longest deadline of all profiles
     * @throws PollenhoistException with {@link ErrorCode#INVALID_CONFIGURATION} where it does not
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
