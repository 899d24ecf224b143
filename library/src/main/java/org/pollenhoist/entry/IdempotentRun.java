package org.pollenhoist.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.pollenhoist.caller.CallerRequest;
import org.pollenhoist.caller.Refusal;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.request.IdempotencyKey;
import org.pollenhoist.request.IdempotencyOutcome;
import org.pollenhoist.request.IdempotencyTicket;
import org.pollenhoist.request.OutcomeInquiry;
import org.pollenhoist.request.RegistrarResponse;
import org.pollenhoist.request.StoredResponse;
import ratpack.exec.Promise;

/**
 * Runs a request that must not be repeated at most once for its idempotency key, through whichever VM it comes. A
 * request without a key, or on a route open to all, has no repeats that could be recognised.
 */
final class IdempotentRun {

    private static final DecisionLog LOG = DecisionLog.of("request");

    private static final Duration RUNNING_RETRY_AFTER = Duration.ofSeconds(1);

    private static final Duration UNKNOWN_RETRY_AFTER = Duration.ofSeconds(5);

    private final EntryParts parts;

    private final Flow flow;

    private final IdempotencyKey key;

    private final Supplier<Promise<FlowOutcome>> attempts;

    private IdempotentRun(EntryParts parts, Flow flow, IdempotencyKey key, Supplier<Promise<FlowOutcome>> attempts) {
        this.parts = parts;
        this.flow = flow;
        this.key = key;
        this.attempts = attempts;
    }

    /** Runs the attempts, at most once for each key. */
    static Promise<FlowOutcome> of(EntryParts parts, Flow flow, Supplier<Promise<FlowOutcome>> attempts) {
        Optional<IdempotencyKey> key = keyOf(flow);
        return key.isPresent() ? new IdempotentRun(parts, flow, key.get(), attempts).run() : attempts.get();
    }

    private static Optional<IdempotencyKey> keyOf(Flow flow) {
        Optional<TeamName> team = flow.identified().team();
        if (!(flow.request() instanceof CallerRequest.ServiceCall call) || call.isIdempotent() || team.isEmpty()) {
            return Optional.empty();
        }
        return call.idempotencyKey().map(text -> new IdempotencyKey(team.get(), text));
    }

    private Promise<FlowOutcome> run() {
        IdempotencyOutcome known = parts.idempotency().begin(key, flow.fingerprint(), MonotonicTime.read());
        return switch (known) {
            case IdempotencyOutcome.Fresh fresh -> registerAndRun(fresh.ticket());
            case IdempotencyOutcome.Running running -> await(running.end()).map(this::repeated);
            default -> Promise.value(repeated(known));
        };
    }

    private Promise<FlowOutcome> registerAndRun(IdempotencyTicket ticket) {
        return await(parts.outcomes().register(key.digest(), flow.fingerprint(), ticket.number(), MonotonicTime.read()))
                .flatMap(verdict -> switch (verdict) {
                    case OutcomeInquiry.Verdict.Run run ->
                        attempts.get().wiretap(result -> record(ticket, result.isError() ? null : result.getValue()));
                    case OutcomeInquiry.Verdict.Known knownElsewhere -> {
                        release(ticket);
                        yield elsewhere(knownElsewhere);
                    }
                    case OutcomeInquiry.Verdict.Unknown unknown -> {
                        release(ticket);
                        yield refuse(
                                ErrorCode.OUTCOME_UNKNOWN,
                                "it can't be found out whether a request with this key ran before; this one did not",
                                Optional.of(UNKNOWN_RETRY_AFTER));
                    }
                });
    }

    private void release(IdempotencyTicket ticket) {
        parts.idempotency().fail(ticket, true, MonotonicTime.read());
        parts.outcomes().ended(key.digest(), ticket.number(), RegistrarResponse.State.NEVER_SEEN);
    }

    private void record(IdempotencyTicket ticket, FlowOutcome outcome) {
        MonotonicTime now = MonotonicTime.read();
        if (outcome instanceof FlowOutcome.Whole whole) {
            parts.idempotency().finish(ticket, whole.answer(), now);
            parts.outcomes().ended(key.digest(), ticket.number(), RegistrarResponse.State.FINISHED);
            return;
        }
        boolean isNotRun = outcome instanceof FlowOutcome.Refused refused
                && refused.refusal().isNotRun();
        if (isNotRun) {
            release(ticket);
            return;
        }
        parts.idempotency().fail(ticket, false, now);
        parts.outcomes().ended(key.digest(), ticket.number(), RegistrarResponse.State.OUTCOME_LOST);
    }

    /** The same key came to this VM before. */
    private FlowOutcome repeated(IdempotencyOutcome known) {
        log(known.getClass().getSimpleName());
        return switch (known) {
            case IdempotencyOutcome.Finished finished -> new FlowOutcome.Whole(finished.answer());
            case IdempotencyOutcome.OtherRequest other ->
                refusal(ErrorCode.IDEMPOTENCY_CONFLICT, "the key came with another request before", Optional.empty());
            case IdempotencyOutcome.AnswerForgotten forgotten -> answerNotKept();
            case IdempotencyOutcome.NotRun notRun ->
                refusal(
                        ErrorCode.UPSTREAM_UNAVAILABLE,
                        "the request with this key did not run; it may be sent again",
                        Optional.of(RUNNING_RETRY_AFTER));
            default -> outcomeLost();
        };
    }

    /** The same key came to another VM before. */
    private Promise<FlowOutcome> elsewhere(OutcomeInquiry.Verdict.Known known) {
        log("elsewhere_" + known.state());
        return switch (known.state()) {
            case FINISHED ->
                await(parts.outcomes().fetch(key.digest(), known.runner().orElseThrow()))
                        .map(this::fetched);
            case OTHER_REQUEST ->
                refuse(ErrorCode.IDEMPOTENCY_CONFLICT, "the key came with another request before", Optional.empty());
            case RUNNING ->
                known.runner().filter(parts.outcomes()::isConnected).isPresent()
                        ? refuse(
                                ErrorCode.IDEMPOTENCY_CONFLICT,
                                "a request with this key runs through another VM",
                                Optional.of(RUNNING_RETRY_AFTER))
                        : Promise.value(outcomeLost());
            case NEVER_SEEN, OUTCOME_LOST -> Promise.value(outcomeLost());
        };
    }

    private FlowOutcome fetched(Optional<StoredResponse> answer) {
        return answer.<FlowOutcome>map(FlowOutcome.Whole::new).orElseGet(IdempotentRun::answerNotKept);
    }

    private void log(String found) {
        LOG.event("repeat", "request", flow.identifier(), "team", key.team(), "found", found);
    }

    private static FlowOutcome outcomeLost() {
        return refusal(
                ErrorCode.OUTCOME_UNKNOWN,
                "a request with this key may have run, and its outcome is not known; it is not run again",
                Optional.empty());
    }

    private static FlowOutcome answerNotKept() {
        return refusal(
                ErrorCode.IDEMPOTENCY_CONFLICT,
                "the request with this key ran to its end; its answer is not kept",
                Optional.empty());
    }

    private static Promise<FlowOutcome> refuse(ErrorCode code, String message, Optional<Duration> retryAfter) {
        return Promise.value(refusal(code, message, retryAfter));
    }

    /** Never "not run": what the key stands for may have run before. */
    private static FlowOutcome refusal(ErrorCode code, String message, Optional<Duration> retryAfter) {
        return new FlowOutcome.Refused(new Refusal(code, message, false, retryAfter));
    }

    private static <T> Promise<T> await(CompletableFuture<T> future) {
        return Promise.async(downstream -> downstream.accept(future));
    }
}
