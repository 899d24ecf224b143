package org.pollenhoist.serving.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.pollenhoist.caller.Refusal;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.request.RequestFingerprint;
import org.pollenhoist.serving.catalog.Route;
import org.pollenhoist.serving.catalog.Service;
import org.pollenhoist.serving.catalog.Team;
import org.pollenhoist.serving.http.CallerResponse;
import org.pollenhoist.serving.http.ConnectionOptions;
import org.pollenhoist.serving.http.HttpExchange;
import org.pollenhoist.serving.http.IncomingRequest;
import org.pollenhoist.serving.http.Target;
import org.pollenhoist.serving.placement.ModelRequest;
import org.pollenhoist.serving.routing.Selection;
import org.pollenhoist.serving.routing.SelectionRequest;
import org.pollenhoist.serving.upstream.LoadSnapshot;
import org.pollenhoist.serving.upstream.Upstream;

/**
 * One request from its arrival to its final answer. It is in one of three states: waiting in the queue, at an upstream,
 * or ended. Confined to the event loop.
 */
final class RequestRun implements RequestQueue.QueuedRequest {

    /** How long an upstream that rejected a request is passed over for it; an adapter is loaded well within that. */
    private static final Duration REJECTED_PAUSE = Duration.ofMillis(150);

    /** When callers are told to come back where nothing better is known; a balancer's and a store's lag are shorter. */
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(500);

    /** A caller of a stopping process may come back at once: the balancer sends it to another one. */
    private static final Duration STOPPING_RETRY_AFTER = Duration.ofMillis(50);

    /** Upstreams that may be tried for one request where nothing was sent to those before. */
    private static final int MAXIMUM_TRIES = 6;

    private final RequestEnvironment environment;
    private final IncomingRequest incoming;
    private final CallerResponse answer;
    private final long number;
    private final Consumer<RequestRun> onEnd;
    private final MonotonicTime arrivedAt;
    private final TriedUpstreams tried = new TriedUpstreams();

    private String identifier = "";
    private CallerRequest asked;
    private Route route;
    private Service service;
    private Optional<Team> team = Optional.empty();
    private long reservedTokens;
    private MonotonicTime deadline;
    private Optional<MonotonicTime> latestEnd = Optional.empty();
    private int tries;
    private int runs;
    private boolean mayHaveRun;
    private boolean isAnswerBegun;
    private boolean isWaiting;
    private boolean isEnded;
    private boolean isFirstAnswerSeen;
    private Optional<ModelRequest> want = Optional.empty();
    private Attempt attempt;
    private CrashSuspicion suspicion;
    private OptionalLong lastEvent = OptionalLong.empty();

    RequestRun(
            RequestEnvironment environment,
            IncomingRequest incoming,
            CallerResponse answer,
            long number,
            Consumer<RequestRun> onEnd) {
        this.environment = environment;
        this.incoming = incoming;
        this.answer = answer;
        this.number = number;
        this.onEnd = onEnd;
        this.arrivedAt = environment.clock().get();
        this.deadline = arrivedAt;
    }

    @Override
    public int priority() {
        return team.map(Team::priority).orElse(OptionalInt.empty()).orElse(route.priority());
    }

    @Override
    public long number() {
        return number;
    }

    @Override
    public Optional<ModelRequest> modelRequest() {
        return want;
    }

    void start(MonotonicTime now) {
        switch (new RequestAdmission(environment, incoming.head()).decide(now)) {
            case RequestAdmission.Result.Refused refused -> {
                identifier = refused.identifier();
                refuse(refused.refusal(), now);
            }
            case RequestAdmission.Result.Admitted admitted -> begin(admitted, now);
        }
    }

    /** The process ends: whatever the caller's deadline, the request has its answer by the given time. */
    void endBy(MonotonicTime latest) {
        latestEnd = Optional.of(latest);
        deadline = deadline.earlierOf(latest);
    }

    private void begin(RequestAdmission.Result.Admitted admitted, MonotonicTime now) {
        asked = admitted.asked();
        identifier = asked.identifier();
        route = admitted.route();
        service = admitted.service();
        team = admitted.team();
        reservedTokens = admitted.tokens();
        deadline = admitted.deadline().earlierOf(latestEnd.orElse(admitted.deadline()));
        environment.retryBudgets().apply(service.name()).recordRequest(now);
        suspicion = new CrashSuspicion(environment, identifier, incoming, teamName(), now);
        environment.recordAsked(route, asked, now);
        dispatch(now);
    }

    private String teamName() {
        return team.map(Team::name).orElse("");
    }

    void refuseStopping(MonotonicTime now) {
        refuse(Refusal.notRunRetryAfter(ErrorCode.NOT_READY, "the process is stopping", STOPPING_RETRY_AFTER), now);
    }

    private void dispatch(MonotonicTime now) {
        if (!isCleared(now)) {
            return;
        }
        Selection selection =
                environment.selector().select(selectionRequest(now), service, environment.upstreams(), now);
        boolean isWaitWorthwhile = tried.isAnyPassedOver(now);
        switch (selection) {
            case Selection.Send send -> send(send, now);
            case Selection.Wait wait -> enqueue(wait);
            case Selection.Refuse refusal when isWaitWorthwhile -> enqueue(new Selection.Wait(refusal.reason(), false));
            case Selection.Refuse refusal -> {
                RequestLog.refused(identifier, asked, refusal.reason());
                giveUp(refusal.reason(), refusal.retryAfter(), now);
            }
        }
    }

    /** Whether the request is not suspected of crashing upstreams, or may run as the one trial of its kind. */
    private boolean isCleared(MonotonicTime now) {
        switch (suspicion.check(this::copies, now)) {
            case CrashSuspicion.Verdict.Run run -> {
                run.excluded().forEach(upstream -> tried.quarantineFrom(upstream.value()));
                return true;
            }
            case CrashSuspicion.Verdict.Wait wait ->
                enqueue(new Selection.Wait("suspected_of_crashing_upstreams", false));
            case CrashSuspicion.Verdict.Refuse refusal -> giveUp(refusal.reason(), refusal.retryAfter(), now);
        }
        return false;
    }

    private int copies(Set<UpstreamName> without) {
        return environment.upstreams().countWithModel(service.name(), asked.model(), without);
    }

    private SelectionRequest selectionRequest(MonotonicTime now) {
        return new SelectionRequest(
                service.name(),
                asked.model(),
                asked.adapter(),
                asked.promptTokens(),
                environment.promptSizes().mean(route.name()),
                asked.totalTokens(),
                asked.promptSegments(),
                priority(),
                arrivedAt,
                deadline,
                route.latencyObjective(),
                environment.shortestGoals(service.name()),
                leavesAt(),
                tried.excluded(now),
                tried.avoided());
    }

    private MonotonicTime leavesAt() {
        return arrivedAt.plus(route.firstEventTimeout()).earlierOf(deadline);
    }

    private void enqueue(Selection.Wait wait) {
        Optional<ModelRequest> newWant = wait.needsPlacement()
                ? Optional.of(new ModelRequest(service.name(), asked.model(), wantedAdapter()))
                : Optional.empty();
        boolean isNewWant = newWant.isPresent() && !newWant.equals(want);
        want = newWant;
        if (!isWaiting) {
            isWaiting = true;
            environment.queue().add(this);
            RequestLog.waiting(identifier, asked, wait.reason());
        }
        if (isNewWant) {
            environment.onModelRequest().run();
        }
    }

    private String wantedAdapter() {
        return copies(Set.of()) > 0 ? asked.adapter() : "";
    }

    @Override
    public boolean tryStart(MonotonicTime now) {
        dispatch(now);
        return !isWaiting;
    }

    private void leaveQueue() {
        if (isWaiting) {
            isWaiting = false;
            want = Optional.empty();
            environment.queue().remove(this);
        }
    }

    private void send(Selection.Send send, MonotonicTime now) {
        boolean isRetry = tries > 0;
        boolean isBudgetNeeded = isRetry && attempt != null && attempt.isCounted;
        if (isBudgetNeeded && !environment.tryWithdrawRetry(service.name(), now)) {
            giveUp("retry_budget_exhausted", DEFAULT_RETRY_AFTER, now);
            return;
        }
        if (!isRetry) {
            environment.metrics().observeQueueing(now.since(arrivedAt));
            environment.recordSent(asked, now);
        }
        leaveQueue();
        tries++;
        Upstream upstream = send.upstream();
        LoadSnapshot load = upstream.load(now);
        RequestLog.sent(identifier, asked, send, load, tries, now.since(arrivedAt));
        if (!asked.adapter().isEmpty()) {
            upstream.recordAdapterUse(asked.model() + "/" + asked.adapter(), now);
        }
        attempt = new Attempt(upstream, load.tokensAwaitingPrefill(), now);
        attempt.begin(now);
    }

    /** The attempt is over and nothing of an answer has reached the caller, or its stream may go on elsewhere. */
    private void tryElsewhere(String reason, MonotonicTime now) {
        boolean mayRunAgain = !mayHaveRun || route.isRepeatable();
        boolean hasRunsLeft = runs < Math.max(1, route.maximumAttempts());
        if (mayRunAgain && hasRunsLeft && tries < MAXIMUM_TRIES && now.isBefore(deadline)) {
            dispatch(now);
        } else {
            giveUp(reason, DEFAULT_RETRY_AFTER, now);
        }
    }

    private void giveUp(String reason, Duration retryAfter, MonotonicTime now) {
        if (isAnswerBegun) {
            end("cut", reason, now);
            answer.abort();
        } else if (mayHaveRun) {
            refuse(Refusal.outcomeUnknown(ErrorCode.OUTCOME_UNKNOWN, "the request may have run: " + reason), now);
        } else {
            refuse(
                    Refusal.notRunRetryAfter(
                            ErrorCode.UPSTREAM_UNAVAILABLE, "the request can't be served now: " + reason, retryAfter),
                    now);
        }
    }

    private void refuse(Refusal refusal, MonotonicTime now) {
        giveTokensBack(refusal, now);
        HttpHeaders headers = Messages.refusal(refusal, identifier, environment.format());
        end(refusal.code().text(), refusal.message(), now);
        answer.sendFull(refusal.status(), headers, Unpooled.wrappedBuffer(refusal.body()));
    }

    private void giveTokensBack(Refusal refusal, MonotonicTime now) {
        if (refusal.isNotRun() && reservedTokens > 0) {
            environment.limits().refund(team.orElseThrow(), reservedTokens, now);
            reservedTokens = 0;
        }
    }

    /** The caller has gone: whatever is done for it stops at once. */
    void callerGone() {
        if (!isEnded) {
            MonotonicTime now = environment.clock().get();
            if (attempt == null && reservedTokens > 0) {
                environment.limits().refund(team.orElseThrow(), reservedTokens, now);
            }
            end("caller_gone", "connection closed", now);
        }
    }

    void expire(MonotonicTime now) {
        if (isEnded || now.isBefore(deadline)) {
            return;
        }
        if (isAnswerBegun) {
            giveUp("deadline", DEFAULT_RETRY_AFTER, now);
        } else if (mayHaveRun || (attempt != null && attempt.isOpen())) {
            refuse(Refusal.outcomeUnknown(ErrorCode.DEADLINE_EXCEEDED, "no answer in time"), now);
        } else {
            refuse(
                    Refusal.notRunRetryAfter(ErrorCode.OVERLOADED, "no upstream was free in time", DEFAULT_RETRY_AFTER),
                    now);
        }
    }

    private void end(String outcome, String reason, MonotonicTime now) {
        if (isEnded) {
            return;
        }
        isEnded = true;
        leaveQueue();
        if (attempt != null) {
            attempt.cancel();
        }
        if (suspicion != null) {
            suspicion.end();
        }
        incoming.body().release();
        String routeName = route == null ? "none" : route.name();
        environment.metrics().countRequest(routeName, outcome);
        RequestLog.ended(identifier, routeName, teamName(), outcome, reason, tries, mayHaveRun, now.since(arrivedAt));
        onEnd.accept(this);
    }

    private void noteFirstAnswer(MonotonicTime now) {
        if (!isFirstAnswerSeen) {
            isFirstAnswerSeen = true;
            environment.metrics().observeFirstAnswer(route.name(), now.since(arrivedAt));
        }
    }

    private FullHttpRequest upstreamRequest(Upstream upstream, MonotonicTime now) {
        ForwardingMetadata forwarding = new ForwardingMetadata(
                upstream.description().identifier(),
                deadline.since(now),
                team.map(Team::name),
                service.engine().isPresent() ? OptionalInt.of(priority()) : OptionalInt.empty(),
                lastEvent.isPresent() ? Optional.of(lastEvent.getAsLong()) : Optional.empty());
        return Messages.toUpstream(incoming, forwarding, environment.format());
    }

    /** One attempt at one upstream. */
    private final class Attempt extends UpstreamAttempt {

        private final long unreadAhead;

        private Attempt(Upstream upstream, long unreadAhead, MonotonicTime now) {
            super(environment, upstream, asked, now);
            this.unreadAhead = unreadAhead;
        }

        private void begin(MonotonicTime now) {
            ConnectionOptions options =
                    route.isRepeatable() ? ConnectionOptions.ANY_IDLE : ConnectionOptions.RECENTLY_USED;
            Target target = new Target(
                    upstream.description().address(), upstream.description().identifier());
            HttpExchange started =
                    environment.connections().send(target, upstreamRequest(upstream, now), options, this);
            follow(started);
            answer.onWritabilityChanged(started::setReading);
        }

        @Override
        protected RequestFingerprint fingerprint() {
            return suspicion.fingerprint();
        }

        @Override
        protected boolean isStream() {
            return route.kind() == org.pollenhoist.serving.catalog.RequestKind.STREAM;
        }

        @Override
        protected void onEvents(HttpResponse head, ByteBuf events, OptionalLong lastIdentifier) {
            MonotonicTime now = environment.clock().get();
            if (isFirstEvent()) {
                environment.pace().observe(asked.model(), unreadAhead + asked.promptTokens(), now.since(startedAt));
                upstream.addCachedSegments(asked.model(), asked.promptSegments());
            }
            noteFirstAnswer(now);
            beginAnswer(head);
            lastEvent = lastIdentifier;
            answer.sendChunk(events);
        }

        private void beginAnswer(HttpResponse head) {
            if (!isAnswerBegun) {
                isAnswerBegun = true;
                mayHaveRun = true;
                answer.begin(head.status().code(), Messages.toCaller(head));
            }
        }

        @Override
        protected void onStreamEnd(HttpResponse head) {
            MonotonicTime now = environment.clock().get();
            beginAnswer(head);
            suspicion.recordSuccess(now);
            end("ok", "complete", now);
            answer.end();
        }

        @Override
        protected void onWhole(HttpResponse head, ResponseHead read, ByteBuf body) {
            MonotonicTime now = environment.clock().get();
            runs++;
            mayHaveRun = true;
            upstream.record(read.isServerError(), now);
            boolean mayRetry = read.isServerError()
                    && route.isRepeatable()
                    && runs < route.maximumAttempts()
                    && now.isBefore(deadline)
                    && !isAnswerBegun;
            if (mayRetry && environment.tryWithdrawRetry(service.name(), now)) {
                body.release();
                isCounted = false;
                tried.markFailed(upstream.description().identifier());
                tryElsewhere("upstream_failed", now);
                return;
            }
            if (isAnswerBegun) {
                // A stream that was to go on here was refused: it can't be completed.
                body.release();
                giveUp("resume_failed", DEFAULT_RETRY_AFTER, now);
                return;
            }
            noteFirstAnswer(now);
            if (read.isSuccess()) {
                suspicion.recordSuccess(now);
            }
            end(read.isSuccess() ? "ok" : "upstream_status_" + read.status(), "complete", now);
            answer.sendFull(head.status().code(), Messages.toCaller(head), body);
        }

        @Override
        protected void onRejected(ResponseHead read) {
            MonotonicTime now = environment.clock().get();
            String identifier = upstream.description().identifier();
            if (read.retryAfter().isEmpty()) {
                tried.passOver(identifier, now.plus(REJECTED_PAUSE));
            }
            if (read.status() == MISDIRECTED) {
                boolean isOther = read.upstreamIdentifier().isPresent()
                        && !read.upstreamIdentifier().get().equals(identifier);
                if (isOther) {
                    upstream.markUnreachable(now);
                } else {
                    upstream.markMissing(asked.model(), asked.adapter());
                }
            } else {
                upstream.record(true, now);
            }
            tryElsewhere("rejected_" + read.status(), now);
        }

        @Override
        protected void onUnsent(String reason) {
            MonotonicTime now = environment.clock().get();
            isCounted = false;
            upstream.markUnreachable(now);
            tried.passOver(upstream.description().identifier(), now.plus(REJECTED_PAUSE));
            tryElsewhere("unreachable", now);
        }

        @Override
        protected void onBroken(String reason) {
            MonotonicTime now = environment.clock().get();
            runs++;
            mayHaveRun = true;
            upstream.record(true, now);
            suspicion.recordBreak(upstream, now);
            tried.markFailed(upstream.description().identifier());
            tryElsewhere(reason, now);
        }
    }
}
