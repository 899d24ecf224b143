package org.pollenhoist.request;

import java.time.Duration;
import org.pollenhoist.common.MonotonicTime;

/**
 * Detects a response that has stalled: before its head, or between two chunks of its body.
 *
 * @param untilHead time-out for the head of the response, measured from when the request was written
 * @param betweenChunks time-out for the next chunk of the body
 * @param lastProgress when the request was written, or the head or last chunk was received
 * @param hasHead whether the head has been received
 * @param deadline the time until which the caller waits
 */
public record StallTimer(
        Duration untilHead,
        Duration betweenChunks,
        MonotonicTime lastProgress,
        boolean hasHead,
        MonotonicTime deadline) {

    /** Result of a check. */
    public enum Finding {
        /** No time-out has passed. */
        WAIT,
        /** The response has stalled: the connection is to be closed and the attempt ends. */
        STALLED,
        /** The caller's deadline has passed. */
        DEADLINE_PASSED
    }

    /**
     * Starts the timer after the request has been written.
     *
     * @param untilHead time-out for the head of the response
     * @param betweenChunks time-out for each chunk of the body
     * @param deadline the time until which the caller waits
     * @param now the current time
     * @return the timer
     */
    public static StallTimer start(
            Duration untilHead, Duration betweenChunks, MonotonicTime deadline, MonotonicTime now) {
        return new StallTimer(untilHead, betweenChunks, now, false, deadline);
    }

    /**
     * Returns the timer after the head or a chunk of the body has been received.
     *
     * @param now the current time
     * @return the timer
     */
    public StallTimer progressed(MonotonicTime now) {
        return new StallTimer(untilHead, betweenChunks, now, true, deadline);
    }

    /**
     * Checks whether the response has stalled or the deadline has passed.
     *
     * @param now the current time
     * @return the result of the check
     */
    public Finding check(MonotonicTime now) {
        if (!now.isBefore(deadline)) {
            return Finding.DEADLINE_PASSED;
        }
        return now.isBefore(stallsAt()) ? Finding.WAIT : Finding.STALLED;
    }

    /**
     * Returns the time of the next check.
     *
     * @return the time-out or the deadline, whichever is earlier
     */
    public MonotonicTime nextCheck() {
        return stallsAt().earlierOf(deadline);
    }

    private MonotonicTime stallsAt() {
        return lastProgress.plus(hasHead ? betweenChunks : untilHead);
    }
}
