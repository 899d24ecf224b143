package org.pollenhoist.entry;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.pollenhoist.caller.Refusal;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.configuration.Upstream;
import org.pollenhoist.request.Admission;
import org.pollenhoist.request.AttemptResult;
import org.pollenhoist.request.CrashQuarantine;
import org.pollenhoist.request.NextStep;
import org.pollenhoist.request.RequestProgress;
import org.pollenhoist.request.StoredResponse;
import org.pollenhoist.request.UpstreamLifetime;
import org.pollenhoist.routing.InFlightHandle;
import org.pollenhoist.routing.RoutingDecision;
import org.pollenhoist.upstream.AnswerCollector;
import org.pollenhoist.upstream.AnswerStream;
import org.pollenhoist.upstream.UpstreamAttempt;
import ratpack.exec.Execution;
import ratpack.exec.Promise;
import ratpack.http.client.StreamedResponse;

/** Carries one request to upstreams until one answers or the retry policy ends it. */
final class AttemptLoop {

    private static final int MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024;

    private final EntryParts parts;

    private final Flow flow;

    private final TokenMeter meter;

    private Admission admission = new Admission.Unrestricted();

    private AttemptLoop(EntryParts parts, Flow flow, TokenMeter meter) {
        this.parts = parts;
        this.flow = flow;
        this.meter = meter;
    }

    static Promise<FlowOutcome> run(EntryParts parts, Flow flow, TokenMeter meter) {
        parts.retryBudget().recordRequest();
        AttemptLoop loop = new AttemptLoop(parts, flow, meter);
        return loop.attempt(RequestProgress.start(flow.isIdempotent(), flow.deadline()));
    }

    private Promise<FlowOutcome> attempt(RequestProgress progress) {
        MonotonicTime now = MonotonicTime.read();
        admission = parts.quarantine()
                .admit(flow.fingerprint(), without -> parts.upstreams().copies(flow.target(), without), now);
        return switch (admission) {
            case Admission.Unrestricted free -> choose(progress, Set.of(), now);
            case Admission.Trial trial -> choose(progress, trial.excluded(), now);
            case Admission.AskAgain later -> sleep(later.delay()).flatMap(slept -> attempt(progress));
            case Admission.Refused refused -> refuse(suspect(progress, refused.retryAfter()));
            case Admission.Quarantined quarantined -> refuse(quarantined(progress, quarantined.remaining()));
        };
    }

    private Promise<FlowOutcome> choose(RequestProgress progress, Set<UpstreamName> suspects, MonotonicTime now) {
        Set<UpstreamName> excluded = new HashSet<>(progress.tried());
        excluded.addAll(suspects);
        RoutingDecision decision =
                parts.router().choose(flow.routingRequest(parts).excluding(excluded), now);
        return switch (decision) {
            case RoutingDecision.NoUpstream none -> {
                endTrial();
                yield giveUp(parts.retryPolicy().noUpstream(progress, none.retryAfter()));
            }
            case RoutingDecision.Chosen chosen -> send(progress.attempting(chosen.upstream()), chosen, now);
        };
    }

    private Promise<FlowOutcome> send(RequestProgress progress, RoutingDecision.Chosen chosen, MonotonicTime now) {
        Upstream upstream = flow.identified().configuration().upstreams().get(chosen.upstream());
        if (upstream == null) {
            chosen.inFlight().release(now);
            endTrial();
            return after(progress, new AttemptResult.NotSent(AttemptResult.Proof.NOTHING_WRITTEN));
        }
        return parts.client()
                .send(upstream, flow.upstreamRequest(now))
                .flatMap(attempt -> received(progress, chosen, attempt));
    }

    private Promise<FlowOutcome> received(
            RequestProgress progress, RoutingDecision.Chosen chosen, UpstreamAttempt attempt) {
        MonotonicTime now = MonotonicTime.read();
        parts.metrics().countAttempt(attempt.getClass().getSimpleName());
        if (attempt instanceof UpstreamAttempt.Answered answered) {
            parts.upstreams().recordContact(chosen.upstream());
            return answered(progress, chosen, answered.response(), now);
        }
        chosen.inFlight().release(now);
        AttemptResult result = switch (attempt) {
            case UpstreamAttempt.NotSent notSent -> {
                parts.upstreams().recordConnectFailure(chosen.upstream(), now);
                endTrial();
                yield new AttemptResult.NotSent(AttemptResult.Proof.CONNECTION_REFUSED);
            }
            case UpstreamAttempt.StatedNotRun stated -> {
                endTrial();
                yield new AttemptResult.NotSent(AttemptResult.Proof.UPSTREAM_STATEMENT);
            }
            case UpstreamAttempt.Broken broken -> {
                parts.quarantine()
                        .recordBreak(flow.fingerprint(), UpstreamLifetime.ofUnknownStart(chosen.upstream()), now);
                endTrial();
                yield new AttemptResult.FailedBeforeAnswer();
            }
            case UpstreamAttempt.TimedOut timedOut -> {
                endTrial();
                yield new AttemptResult.TimedOut();
            }
            case UpstreamAttempt.Answered answered -> throw new IllegalStateException("an answer is handled before");
        };
        return after(progress, result);
    }

    private Promise<FlowOutcome> answered(
            RequestProgress progress, RoutingDecision.Chosen chosen, StreamedResponse response, MonotonicTime now) {
        AnswerStream body = AnswerStream.watch(
                response.getBody(), new Ending(chosen.inFlight(), chosen.upstream()), AttemptLoop::errorEvent, now);
        if (flow.isStreamed() && response.getStatusCode() < 300) {
            return Promise.value(new FlowOutcome.Streaming(response, body));
        }
        return AnswerCollector.collect(body, MAXIMUM_ANSWER_BYTES)
                .<FlowOutcome>map(bytes -> new FlowOutcome.Whole(new StoredResponse(
                        response.getStatusCode(),
                        HeaderRules.toCaller(response.getHeaders()),
                        ByteString.copyFrom(bytes))))
                .flatMapError(broken -> after(progress, new AttemptResult.FailedBeforeAnswer()));
    }

    private Promise<FlowOutcome> after(RequestProgress progress, AttemptResult result) {
        NextStep step = parts.retryPolicy().next(progress, result, MonotonicTime.read());
        return switch (step) {
            case NextStep.RetryElsewhere retry -> attempt(retry.progress());
            case NextStep.GiveUp giveUp -> giveUp(giveUp);
            case NextStep.Done done -> throw new IllegalStateException("a whole answer needs no next step");
        };
    }

    private void endTrial() {
        if (admission instanceof Admission.Trial trial) {
            parts.quarantine().endTrial(flow.fingerprint(), trial);
        }
    }

    private Promise<FlowOutcome> giveUp(NextStep.GiveUp giveUp) {
        String message = switch (giveUp.code()) {
            case OUTCOME_UNKNOWN -> "the upstream broke off; the request may have run";
            case UPSTREAM_UNAVAILABLE -> "no upstream can take the request now";
            case DEADLINE_EXCEEDED -> "the deadline passed";
            default -> "the answer broke off";
        };
        return refuse(new Refusal(giveUp.code(), message, giveUp.isNotRun(), giveUp.retryAfter()));
    }

    private static Refusal suspect(RequestProgress progress, Duration retryAfter) {
        return new Refusal(
                ErrorCode.UPSTREAM_UNAVAILABLE,
                "an upstream crashed under this request, and it is tried elsewhere or only one copy is left",
                !progress.mayHaveRun(),
                Optional.of(retryAfter));
    }

    private static Refusal quarantined(RequestProgress progress, Duration remaining) {
        return new Refusal(
                ErrorCode.REQUEST_QUARANTINED,
                "this request made upstreams crash and is not run again for " + remaining.toSeconds() + " s",
                !progress.mayHaveRun(),
                Optional.empty());
    }

    private static Promise<FlowOutcome> refuse(Refusal refusal) {
        return Promise.value(new FlowOutcome.Refused(refusal));
    }

    private static Promise<Boolean> sleep(Duration delay) {
        return Promise.async(downstream -> Execution.sleep(delay, () -> downstream.success(true)));
    }

    private static ByteBuf errorEvent() {
        Refusal refusal = new Refusal(
                ErrorCode.ANSWER_INCOMPLETE,
                "the answer broke off",
                false,
                Optional.of(CrashQuarantine.RETRY_AFTER_BREAK));
        String event = "\n\ndata: " + new String(refusal.body(), StandardCharsets.UTF_8) + "\n\n";
        return Unpooled.copiedBuffer(event, StandardCharsets.UTF_8);
    }

    /** Ends what was counted for an attempt, however its answer ends. */
    private final class Ending implements AnswerStream.Observer {

        private final InFlightHandle inFlight;

        private final UpstreamName upstream;

        Ending(InFlightHandle inFlight, UpstreamName upstream) {
            this.inFlight = inFlight;
            this.upstream = upstream;
        }

        @Override
        public void onPart(ByteBuf part) {
            meter.read(part);
        }

        @Override
        public void onWhole() {
            MonotonicTime now = MonotonicTime.read();
            inFlight.release(now);
            parts.quarantine().recordSuccess(flow.fingerprint(), now);
            endTrial();
        }

        @Override
        public void onBroken(String reason) {
            MonotonicTime now = MonotonicTime.read();
            inFlight.release(now);
            parts.metrics().countAttempt("AnswerBroke");
            parts.quarantine().recordBreak(flow.fingerprint(), UpstreamLifetime.ofUnknownStart(upstream), now);
            endTrial();
        }

        @Override
        public void onAborted(String reason) {
            onCancelled();
        }

        @Override
        public void onCancelled() {
            inFlight.release(MonotonicTime.read());
            endTrial();
        }
    }
}
