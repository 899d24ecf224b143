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
 * Whether one request may run in view of the upstreams that crashed under it before. Its repeats have the same method,
 * path, team and body. Confined to the event loop.
 */
final class CrashSuspicion {

    /** What may be done with the request now. */
    sealed interface Verdict {

        /**
         * It may run.
         *
         * @param excluded identifiers of upstreams where it may not
         */
        record Run(Set<UpstreamName> excluded) implements Verdict {}

        /** It has to wait until it is known whether it may be tried once more. */
        record Wait() implements Verdict {}

        /**
         * It may not run.
         *
         * @param reason why
         * @param retryAfter when to come back
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
    private MonotonicTime askAgainAt;
    private boolean isWaitNoted;

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
        this.askAgainAt = now;
    }

    /** What tells the request apart from others; computed only where it is needed. */
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
        if (now.isBefore(askAgainAt)) {
            return new Verdict.Wait();
        }
        return switch (quarantine.admit(fingerprint(), copies, now)) {
            case Admission.Unrestricted unrestricted -> new Verdict.Run(Set.of());
            case Admission.Trial allowed -> {
                trial = Optional.of(allowed);
                note("trial", "once_more_elsewhere");
                yield new Verdict.Run(allowed.excluded());
            }
            case Admission.AskAgain later -> {
                askAgainAt = now.plus(later.delay());
                noteWait();
                yield new Verdict.Wait();
            }
            case Admission.Refused refused -> refuse("suspected_of_crashing_upstreams", refused.retryAfter());
            case Admission.Quarantined quarantined -> refuse("crashes_upstreams", quarantined.remaining());
        };
    }

    private Verdict refuse(String reason, Duration retryAfter) {
        note("refuse", reason);
        return new Verdict.Refuse(reason, retryAfter);
    }

    private void noteWait() {
        if (!isWaitNoted) {
            isWaitNoted = true;
            note("wait", "trial_not_settled");
        }
    }

    private void note(String decision, String reason) {
        metrics.countSuspicion(decision);
        RequestLog.suspected(identifier, fingerprint().toString(), decision, reason);
    }

    void recordBreak(Upstream upstream, MonotonicTime now) {
        quarantine.recordBreak(fingerprint(), upstream.lifetime(), now);
        end();
    }

    void recordSuccess(MonotonicTime now) {
        if (quarantine.hasCases()) {
            quarantine.recordSuccess(fingerprint(), now);
        }
    }

    void end() {
        trial.ifPresent(ended -> quarantine.endTrial(fingerprint(), ended));
        trial = Optional.empty();
    }
}
