package org.pollenhoist.serving.segment;

import java.time.Duration;
import java.util.Set;
import org.pollenhoist.common.UpstreamName;

/** The decision whether a request may run, given the segments of its prompt. */
public sealed interface SegmentAdmission {

    /** None of the segments is suspect. */
    record Unrestricted() implements SegmentAdmission {}

    /**
     * The request is the only one with these suspect segments that the fleet runs now.
     *
     * @param number identifies the trial within this process
     * @param segments the segments on trial
     * @param excluded the upstreams that crashed under them
     */
    record Trial(long number, Set<SegmentKey> segments, Set<UpstreamName> excluded) implements SegmentAdmission {

        /** Copies the sets. */
        public Trial {
            segments = Set.copyOf(segments);
            excluded = Set.copyOf(excluded);
        }
    }

    /**
     * A segment is suspect, and its trial runs elsewhere or can't start yet.
     *
     * @param segment the segment
     */
    record Wait(SegmentKey segment) implements SegmentAdmission {}

    /**
     * A segment crashes upstreams, so the request is not run.
     *
     * @param segment the segment
     * @param retryAfter the time until the segment may be tried again
     */
    record Refused(SegmentKey segment, Duration retryAfter) implements SegmentAdmission {}
}
