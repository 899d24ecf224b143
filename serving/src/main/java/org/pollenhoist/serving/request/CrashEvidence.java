package org.pollenhoist.serving.request;

import java.util.List;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.request.RequestFingerprint;
import org.pollenhoist.serving.segment.SegmentKey;

/**
 * What an attempt proves if its upstream has crashed: which request the upstream was executing, and which segments of
 * its prompt it may have been about to answer.
 *
 * @param request the request
 * @param segments the shared segments of its prompt; empty if the upstream had already begun to answer
 * @param sentAt when the request was sent
 */
record CrashEvidence(RequestFingerprint request, List<SegmentKey> segments, MonotonicTime sentAt) {}
