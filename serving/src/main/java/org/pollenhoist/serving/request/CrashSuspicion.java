package org.pollenhoist.serving.request;

import io.netty.buffer.ByteBufUtil;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.request.Admission;
import org.pollenhoist.request.CopyCount;
import org.pollenhoist.request.CrashQuarantine;
import org.pollenhoist.request.RequestFingerprint;
import org.pollenhoist.serving.http.IncomingRequest;
import org.pollenhoist.serving.upstream.Upstream;

/**
 * Decides whether a request may run, given the upstreams that crashed while they handled it or a repeat of it. Requests
 * with the same method, path, team and body are repeats of each other. Confined to the event loop.
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

    private final CrashQuarantine quarantine;
    private final RequestMetrics metrics;
    private final String identifier;
    private final IncomingRequest request;
    private final String team;
    private Optional<RequestFingerprint> fingerprint = Optional.empty();
    private Optional<Admission.Trial> trial = Optional.empty();
    private MonotonicTime nextCheckAt;
    private boolean isWaitRecorded;

    CrashSuspicion(
            RequestEnvironment environment,
            String identifier,
            IncomingRequest request,
            String team,
            MonotonicTime now) {
        this.quarantine = environment.quarantine();
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

    void recordBrokenAttempt(Upstream upstream, MonotonicTime now) {
        quarantine.recordBreak(fingerprint(), upstream.lifetime(), now);
        endTrial();
    }

    void recordSuccess(MonotonicTime now) {
        if (quarantine.hasCases()) {
            quarantine.recordSuccess(fingerprint(), now);
        }
    }

    void endTrial() {
        trial.ifPresent(ended -> quarantine.endTrial(fingerprint(), ended));
        trial = Optional.empty();
    }
}
