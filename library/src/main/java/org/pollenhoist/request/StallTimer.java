package org.pollenhoist.request;

import java.time.Duration;
import org.pollenhoist.common.MonotonicTime;

/**
 * Finds an answer that has gone silent: before its head, or between two parts of its body.
 *
 * @param untilHead how long the head may take after the request was written
 * @param betweenParts how long the next part of the body may take
 * @param lastProgress when the request was written or the last part came
 * @param hasHead whether the head has come
 * @param deadline when the caller stops waiting
 */
public record StallTimer(
        Duration untilHead,
        Duration betweenParts,
        MonotonicTime lastProgress,
        boolean hasHead,
        MonotonicTime deadline) {

    /** What the timer found. */
    public enum Finding {
        /** Nothing yet. */
        WAIT,
        /** The answer stalled: the connection is closed and the attempt ends. */
        STALLED,
        /** The caller's deadline passed. */
        DEADLINE_PASSED
    }

    /**
     * Starts the timer when the request has been written.
     *
     * @param untilHead how long the head may take
     * @param betweenParts how long each further part may take
     * @param deadline when the caller stops waiting
     * @param now the present time
     * @return the timer
     */
    public static StallTimer start(
            Duration untilHead, Duration betweenParts, MonotonicTime deadline, MonotonicTime now) {
        return new StallTimer(untilHead, betweenParts, now, false, deadline);
    }

    /**
     * Returns the timer after the head or a part of the body came.
     *
     * @param now the present time
     * @return the timer
     */
    public StallTimer progressed(MonotonicTime now) {
        return new StallTimer(untilHead, betweenParts, now, true, deadline);
    }

    /**
     * Tells whether the answer has stalled.
     *
     * @param now the present time
     * @return what was found
     */
    public Finding check(MonotonicTime now) {
        if (!now.isBefore(deadline)) {
            return Finding.DEADLINE_PASSED;
        }
        return now.isBefore(stallsAt()) ? Finding.WAIT : Finding.STALLED;
    }

    /**
     * Returns when the next check makes sense.
     *
     * @return the earlier one of the stall and the deadline
     */
    public MonotonicTime nextCheck() {
        return stallsAt().earlierOf(deadline);
    }

    private MonotonicTime stallsAt() {
        return lastProgress.plus(hasHead ? betweenParts : untilHead);
    }
}
