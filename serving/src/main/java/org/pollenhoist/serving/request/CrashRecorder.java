package org.pollenhoist.serving.request;

import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.request.CrashQuarantine;
import org.pollenhoist.request.UpstreamLifetime;
import org.pollenhoist.serving.segment.SegmentQuarantine;

/**
 * Records crashes of upstreams for everything that may have caused them. Confined to the event loop.
 *
 * @param requests tracks the requests that were executing
 * @param segments tracks the prompt segments that were about to be answered
 */
public record CrashRecorder(CrashQuarantine requests, SegmentQuarantine segments) {

    void record(CrashEvidence evidence, UpstreamLifetime lifetime, MonotonicTime now) {
        requests.recordBreak(evidence.request(), lifetime, now);
        segments.recordCrash(evidence.segments(), lifetime, evidence.sentAt(), now);
    }
}
