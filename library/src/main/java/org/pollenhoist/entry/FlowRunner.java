package org.pollenhoist.entry;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.pollenhoist.caller.CallerRequest;
import org.pollenhoist.caller.Refusal;
import org.pollenhoist.caller.RunningRequests;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.upstream.AnswerStream;
import ratpack.exec.Execution;
import ratpack.exec.Promise;

/**
 * Runs one request under its team's limit. The attempts go on in an execution of their own, so that a withdrawn key, a
 * passed deadline or a stop can answer the caller at once, whatever the upstream does.
 */
final class FlowRunner {

    private static final DecisionLog LOG = DecisionLog.of("limit");

    private static final Duration STALL_TIMEOUT = Duration.ofSeconds(10);

    private static final long WATCH_MILLISECONDS = 200;

    private final EntryParts parts;

    private final Flow flow;

    private final EventLoop eventLoop;

    private final TokenMeter meter;

    private final CompletableFuture<FlowOutcome> outcome = new CompletableFuture<>();

    private RunningRequests.Entry running = () -> {};

    private TokenGate.Reservation reservation = (tokens, now) -> {};

    private ScheduledFuture<?> watch;

    private AnswerStream stream;

    private boolean isSent;

    /** Whether nothing of the request can go on at an upstream without being seen here. */
    private boolean isAttemptOver;

    FlowRunner(EntryParts parts, Flow flow, EventLoop eventLoop) {
        this.parts = parts;
        this.flow = flow;
        this.eventLoop = eventLoop;
        double prompt = flow.request() instanceof CallerRequest.ModelCall call ? call.promptTokens() : 0;
        this.meter = new TokenMeter(prompt);
    }

    Promise<FlowOutcome> run(MonotonicTime arrival) {
        running = parts.running().add(flow.identified().keyDigest(), reason -> eventLoop.execute(() -> abort(reason)));
        changeModelSequences(1);
        watch = eventLoop.scheduleAtFixedRate(
                this::watch, WATCH_MILLISECONDS, WATCH_MILLISECONDS, TimeUnit.MILLISECONDS);
        outcome.whenComplete((result, failure) -> afterOutcome(result));
        Execution.fork()
                .eventLoop(eventLoop)
                .onError(this::fail)
                .start(execution -> admitted(arrival).onError(this::fail).then(this::complete));
        return Promise.async(downstream -> downstream.accept(outcome));
    }

    private Promise<FlowOutcome> admitted(MonotonicTime arrival) {
        if (flow.identified().team().isEmpty()) {
            return attempts(arrival);
        }
        double bound = flow.request().tokenBound();
        return Promise.<TokenGate.Decision>async(downstream -> downstream.accept(
                        parts.gate().admit(flow.identified().team().orElseThrow(), bound, MonotonicTime.read())))
                .flatMap(decision -> afterAdmission(decision, arrival));
    }

    private Promise<FlowOutcome> afterAdmission(TokenGate.Decision decision, MonotonicTime arrival) {
        return switch (decision) {
            case TokenGate.Decision.Admitted admitted -> {
                reservation = admitted.reservation();
                yield attempts(arrival);
            }
            case TokenGate.Decision.Refused refused ->
                Promise.value(new FlowOutcome.Refused(
                        Refusal.notRunRetryAfter(ErrorCode.RATE_LIMITED, refused.reason(), refused.retryAfter())));
        };
    }

    private Promise<FlowOutcome> attempts(MonotonicTime arrival) {
        if (outcome.isDone()) {
            return Promise.value(
                    new FlowOutcome.Refused(Refusal.notRun(ErrorCode.UNAUTHORIZED, "ended before it was sent")));
        }
        parts.metrics().observeDecision(MonotonicTime.read().secondsSince(arrival));
        isSent = true;
        return IdempotentRun.of(parts, flow, () -> AttemptLoop.run(parts, flow, meter));
    }

    private void fail(Throwable failure) {
        isAttemptOver = true;
        if (!outcome.completeExceptionally(failure)) {
            settle();
        }
    }

    private void complete(FlowOutcome result) {
        isAttemptOver = true;
        boolean isWanted = outcome.complete(result);
        if (!isWanted && result instanceof FlowOutcome.Streaming streaming) {
            streaming.body().cancel();
        }
        if (!isWanted) {
            settle();
        }
        if (isWanted && result instanceof FlowOutcome.Streaming streaming) {
            keepExecutionUntilEnd(streaming.body());
        }
    }

    /** Ratpack ends the connection of an answer with the execution that asked for it. */
    private static void keepExecutionUntilEnd(AnswerStream body) {
        Promise.<Boolean>async(downstream -> body.whenEnded(() -> downstream.success(true)))
                .then(ended -> {});
    }

    private void afterOutcome(FlowOutcome result) {
        if (result instanceof FlowOutcome.Streaming streaming) {
            stream = streaming.body();
            stream.whenEnded(this::finish);
            return;
        }
        boolean isNotRun = result instanceof FlowOutcome.Refused refused
                && refused.refusal().isNotRun();
        if (isNotRun) {
            isSent = false;
        }
        finish();
    }

    private void finish() {
        watch.cancel(false);
        running.close();
        changeModelSequences(-1);
        if (isAttemptOver || !isSent) {
            settle();
        }
    }

    private void changeModelSequences(int change) {
        if (flow.request() instanceof CallerRequest.ModelCall call) {
            parts.metrics().changeModelSequences(call.model(), change);
        }
    }

    private void settle() {
        double used = isSent ? used() : 0;
        reservation.settle(used, MonotonicTime.read());
        flow.identified()
                .team()
                .ifPresent(team -> LOG.event(
                        "settle",
                        "request",
                        flow.identifier(),
                        "team",
                        team,
                        "bound",
                        flow.request().tokenBound(),
                        "used",
                        used));
    }

    private double used() {
        return flow.request() instanceof CallerRequest.ServiceCall call ? call.tokenBound() : meter.used();
    }

    private void watch() {
        MonotonicTime now = MonotonicTime.read();
        if (!now.isBefore(flow.deadline())) {
            end(Refusal.outcomeUnknown(ErrorCode.DEADLINE_EXCEEDED, "the deadline passed"));
            return;
        }
        boolean isStalled = stream != null
                && stream.isWaitingForUpstream()
                && now.since(stream.lastProgress()).compareTo(STALL_TIMEOUT) > 0;
        if (isStalled) {
            stream.abort("the upstream sent nothing for " + STALL_TIMEOUT.toSeconds() + " s");
        }
    }

    private void abort(String reason) {
        end(Refusal.outcomeUnknown(ErrorCode.UNAUTHORIZED, reason));
    }

    private void end(Refusal refusal) {
        if (stream != null) {
            stream.abort(refusal.message());
            return;
        }
        outcome.complete(new FlowOutcome.Refused(refusal));
    }

    /** The caller's connection has ended; what runs for it is cancelled as far as the upstream can be told. */
    void callerGone() {
        if (stream != null) {
            stream.cancel();
            return;
        }
        outcome.complete(new FlowOutcome.Refused(
                Refusal.outcomeUnknown(ErrorCode.ANSWER_INCOMPLETE, "the caller's connection ended")));
    }
}
