package org.pollenhoist.serving.request;

import io.netty.buffer.ByteBufUtil;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.request.Admission;
import org.pollenhoist.request.CopyCount;
import org.pollenhoist.request.CrashQuarantine;
import org.pollenhoist.request.RequestFingerprint;
import org.pollenhoist.serving.http.IncomingRequest;
import org.pollenhoist.serving.segment.SegmentAdmission;
import org.pollenhoist.serving.segment.SegmentKey;
import org.pollenhoist.serving.segment.SegmentQuarantine;
import org.pollenhoist.serving.upstream.Upstream;

/**
 * Decides whether a request may run, given the upstreams that crashed while they handled it, a repeat of it, or
 * requests that share a segment of its prompt. Requests with the same method, path, team and body are repeats of each
 * other. Confined to the event loop.
 */
final class CrashSuspicion {

    /** The decision on the request. */
    sealed interface Verdict {

        /**
         * The request may run.
         *
         * @param excluded identifiers of upstreams that it must not be sent to
         */
        record Run(Set<UpstreamName> excluded) implements Verdict {}

        /** The request has to wait until it is known whether this VM may run it as a trial. */
        record Wait() implements Verdict {}

        /**
         * The request must not run.
         *
         * @param reason the reason for the log and the caller
         * @param retryAfter how long the caller should wait before a retry
         */
        record Refuse(String reason, Duration retryAfter) implements Verdict {}
    }

    /** How long a request waits in all while a segment of its prompt is on trial elsewhere. */
    private static final Duration MAXIMUM_SEGMENT_WAIT = Duration.ofMillis(1_500);

    private static final Duration SEGMENT_TRIAL_RETRY = Duration.ofSeconds(1);

    private final CrashQuarantine quarantine;
    private final SegmentQuarantine segmentQuarantine;
    private final CrashRecorder recorder;
    private final InconclusiveAttempts inconclusiveAttempts;
    private final RequestMetrics metrics;
    private final String identifier;
    private final List<SegmentKey> segments;
    private final IncomingRequest request;
    private final String team;
    private Optional<RequestFingerprint> fingerprint = Optional.empty();
    private Optional<Admission.Trial> trial = Optional.empty();
    private Optional<SegmentAdmission.Trial> segmentTrial = Optional.empty();
    private Optional<MonotonicTime> segmentWaitUntil = Optional.empty();
    private MonotonicTime sentAt;
    private boolean isAnswerBegun;
    private MonotonicTime nextCheckAt;
    private boolean isWaitRecorded;

    CrashSuspicion(
            RequestEnvironment environment,
            String identifier,
            IncomingRequest request,
            String team,
            List<SegmentKey> segments,
            MonotonicTime now) {
        this.quarantine = environment.crashes().requests();
        this.segmentQuarantine = environment.crashes().segments();
        this.recorder = environment.crashes();
        this.inconclusiveAttempts = environment.inconclusiveAttempts();
        this.segments = segments;
        this.sentAt = now;
        this.metrics = environment.metrics();
        this.identifier = identifier;
        this.request = request;
        this.team = team;
        this.nextCheckAt = now;
    }

    /** Returns the fingerprint of the request. It is computed on first use. */
    RequestFingerprint fingerprint() {
        RequestFingerprint known = fingerprint.orElseGet(() -> RequestFingerprint.of(
                request.head().method().name(), request.head().uri(), team, ByteBufUtil.getBytes(request.body())));
        fingerprint = Optional.of(known);
        return known;
    }

    Verdict check(CopyCount copies, MonotonicTime now) {
        Verdict verdict = checkRequest(copies, now);
        return verdict instanceof Verdict.Run allowed ? checkSegments(allowed, now) : verdict;
    }

    private Verdict checkSegments(Verdict.Run allowed, MonotonicTime now) {
        if (segmentTrial.isPresent() || segments.isEmpty()) {
            return allowed;
        }
        return switch (segmentQuarantine.admit(segments, now)) {
            case SegmentAdmission.Unrestricted unrestricted -> allowed;
            case SegmentAdmission.Trial started -> {
                segmentTrial = Optional.of(started);
                recordSegmentDecision("segment_trial", started.segments());
                Set<UpstreamName> excluded = new HashSet<>(allowed.excluded());
                excluded.addAll(started.excluded());
                yield new Verdict.Run(excluded);
            }
            case SegmentAdmission.Wait wait -> awaitSegment(wait.segment(), now);
            case SegmentAdmission.Refused refused -> {
                recordSegmentDecision("segment_refuse", Set.of(refused.segment()));
                yield new Verdict.Refuse("segment_crashes_upstreams", refused.retryAfter());
            }
        };
    }

    private Verdict awaitSegment(SegmentKey segment, MonotonicTime now) {
        if (segmentWaitUntil.isEmpty()) {
            segmentWaitUntil = Optional.of(now.plus(MAXIMUM_SEGMENT_WAIT));
            recordSegmentDecision("segment_wait", Set.of(segment));
        }
        if (now.isBefore(segmentWaitUntil.get())) {
            return new Verdict.Wait();
        }
        recordSegmentDecision("segment_wait_ended", Set.of(segment));
        return new Verdict.Refuse("segment_suspected_of_crashing_upstreams", SEGMENT_TRIAL_RETRY);
    }

    private void recordSegmentDecision(String decision, Set<SegmentKey> decisive) {
        metrics.countSuspicion(decision);
        RequestLog.suspectedSegments(identifier, decisive, decision);
    }

    private Verdict checkRequest(CopyCount copies, MonotonicTime now) {
        if (trial.isPresent() || !quarantine.hasCases()) {
            return new Verdict.Run(Set.of());
        }
        if (now.isBefore(nextCheckAt)) {
            return new Verdict.Wait();
        }
        return switch (quarantine.admit(fingerprint(), copies, now)) {
            case Admission.Unrestricted unrestricted -> new Verdict.Run(Set.of());
            case Admission.Trial allowed -> {
                trial = Optional.of(allowed);
                recordDecision("trial", "once_more_elsewhere");
                yield new Verdict.Run(allowed.excluded());
            }
            case Admission.AskAgain later -> {
                nextCheckAt = now.plus(later.delay());
                recordWait();
                yield new Verdict.Wait();
            }
            case Admission.Refused refused -> refuse("suspected_of_crashing_upstreams", refused.retryAfter());
            case Admission.Quarantined quarantined -> refuse("crashes_upstreams", quarantined.remaining());
        };
    }

    private Verdict refuse(String reason, Duration retryAfter) {
        recordDecision("refuse", reason);
        return new Verdict.Refuse(reason, retryAfter);
    }

    private void recordWait() {
        if (!isWaitRecorded) {
            isWaitRecorded = true;
            recordDecision("wait", "trial_not_settled");
        }
    }

    private void recordDecision(String decision, String reason) {
        metrics.countSuspicion(decision);
        RequestLog.suspected(identifier, fingerprint().toString(), decision, reason);
    }

    /** Records that the request is sent to an upstream. */
    void recordSent(MonotonicTime now) {
        sentAt = now;
        isAnswerBegun = false;
    }

    /** Records that the upstream has continued an answer after its first part. */
    void recordContinuedAnswer(MonotonicTime now) {
        if (!isAnswerBegun) {
            isAnswerBegun = true;
            segmentQuarantine.recordBegun(segments, now);
            endSegmentTrial(now);
        }
    }

    /** Returns what the present attempt proves if its upstream has crashed. */
    CrashEvidence evidence() {
        return new CrashEvidence(fingerprint(), isAnswerBegun ? List.of() : segments, sentAt);
    }

    /** Records a broken attempt. An upstream that has continued an answer rarely crashes because of its request. */
    void recordBrokenAttempt(Upstream upstream, MonotonicTime now) {
        if (isAnswerBegun) {
            recordInconclusiveAttempt(upstream, now);
        } else {
            recorder.record(evidence(), upstream.lifetime(), now);
            endTrial(now);
        }
    }

    /** Records an attempt whose end does not show whether the upstream crashed. */
    void recordInconclusiveAttempt(Upstream upstream, MonotonicTime now) {
        inconclusiveAttempts.add(evidence(), upstream, now);
        endTrial(now);
    }

    void recordSuccess(MonotonicTime now) {
        recordContinuedAnswer(now);
        if (quarantine.hasCases()) {
            quarantine.recordSuccess(fingerprint(), now);
        }
    }

    void endTrial(MonotonicTime now) {
        trial.ifPresent(ended -> quarantine.endTrial(fingerprint(), ended));
        trial = Optional.empty();
        endSegmentTrial(now);
    }

    private void endSegmentTrial(MonotonicTime now) {
        segmentTrial.ifPresent(ended -> segmentQuarantine.endTrial(ended, now));
        segmentTrial = Optional.empty();
    }
}
