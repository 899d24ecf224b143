package org.pollenhoist.serving.segment;

import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.request.UpstreamLifetime;

/**
 * The end of an upstream's lifetime while a request with a certain segment had not received any part of its answer.
 *
 * @param lifetime the lifetime of the upstream
 * @param sentAt when the earliest such request was sent
 * @param endedAt when the first VM detected the end
 */
public record SegmentCrash(UpstreamLifetime lifetime, MonotonicTime sentAt, MonotonicTime endedAt) {

    /** Combines two observations of the same crash. The earlier times are the more exact ones. */
    SegmentCrash merge(SegmentCrash other) {
        return new SegmentCrash(lifetime, sentAt.earlierOf(other.sentAt), endedAt.earlierOf(other.endedAt));
    }
}
