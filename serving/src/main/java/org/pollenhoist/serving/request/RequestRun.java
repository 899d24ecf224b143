package org.pollenhoist.serving.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.pollenhoist.caller.Refusal;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.serving.catalog.RequestKind;
import org.pollenhoist.serving.catalog.Route;
import org.pollenhoist.serving.catalog.Service;
import org.pollenhoist.serving.catalog.Team;
import org.pollenhoist.serving.forwarding.UpstreamExchange;
import org.pollenhoist.serving.http.CallerResponse;
import org.pollenhoist.serving.http.IncomingRequest;
import org.pollenhoist.serving.placement.ModelRequest;
import org.pollenhoist.serving.routing.Selection;
import org.pollenhoist.serving.routing.SelectionRequest;
import org.pollenhoist.serving.segment.SegmentKey;
import org.pollenhoist.serving.upstream.LoadSnapshot;
import org.pollenhoist.serving.upstream.Upstream;

/**
 * Handles one request from its arrival to its final response. The request is in one of three states: waiting in the
 * queue, at an upstream, or ended. Confined to the event loop.
 */
final class RequestRun implements RequestQueue.QueuedRequest {

    /** How long an upstream is excluded for a request that it rejected; loading an adapter takes much less. */
    private static final Duration REJECTION_EXCLUSION = Duration.ofMillis(150);

    /** Maximum number of attempts for one request, including those that were rejected or not sent. */
    private static final int MAXIMUM_ATTEMPTS = 6;

    private final RequestEnvironment environment;
    private final IncomingRequest incoming;
    private final CallerResponse response;
    private final long number;
    private final Consumer<RequestRun> onEnd;
    private final MonotonicTime arrivedAt;
    private final long configurationVersion;
    private final TriedUpstreams triedUpstreams = new TriedUpstreams();

    private String identifier = "";
    private CallerRequest request;
    private Route route;
    private Service service;
    private Optional<Team> team = Optional.empty();
    private TokenReservation reservation;
    private MonotonicTime deadline;
    private MonotonicTime waitingSince;
    private Optional<MonotonicTime> latestEnd = Optional.empty();
    private int attemptCount;
    private int possibleRuns;
    private boolean mayHaveRun;
    private boolean isResponseStarted;
    private boolean isWaiting;
    private boolean isEnded;
    private Optional<ModelRequest> modelRequest = Optional.empty();
    private Attempt attempt;
    private CrashSuspicion suspicion;
    private StreamContinuity continuity;

    RequestRun(
            RequestEnvironment environment,
            IncomingRequest incoming,
            CallerResponse response,
            long number,
            Consumer<RequestRun> onEnd) {
        this.environment = environment;
        this.incoming = incoming;
        this.response = response;
        this.number = number;
        this.onEnd = onEnd;
        this.arrivedAt = environment.clock().get();
        this.configurationVersion = environment.configurationVersion();
        this.deadline = arrivedAt;
        this.waitingSince = arrivedAt;
        this.reservation = new TokenReservation(environment.limits(), Optional.empty(), 0);
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
        return modelRequest;
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

    /** Brings the deadline forward to the given time, unless it is earlier, since the process is about to end. */
    void endBy(MonotonicTime latest) {
        latestEnd = Optional.of(latest);
        deadline = deadline.earlierOf(latest);
    }

    private void begin(RequestAdmission.Result.Admitted admitted, MonotonicTime now) {
        request = admitted.request();
        identifier = request.identifier();
        route = admitted.route();
        service = admitted.service();
        team = admitted.team();
        reservation = new TokenReservation(environment.limits(), team, admitted.tokens());
        deadline = admitted.deadline().earlierOf(latestEnd.orElse(admitted.deadline()));
        environment.retryBudgets().apply(service.name()).recordRequest(now);
        List<SegmentKey> segments = SegmentKey.sharedBy(service.name(), request.promptSegments());
        suspicion = new CrashSuspicion(environment, identifier, incoming, teamName(), segments, now);
        continuity = new StreamContinuity(environment, request, route, service.name(), teamName());
        environment.recordArrival(route, request, now);
        dispatch(now);
    }

    private String teamName() {
        return team.map(Team::name).orElse("");
    }

    void refuseStopping(MonotonicTime now) {
        refuse(Refusals.stopping(), now);
    }

    private void dispatch(MonotonicTime now) {
        switch (continuity.check(now)) {
            case StreamContinuity.Verdict.Proceed proceed -> dispatch(proceed.softwareVersions(), now);
            case StreamContinuity.Verdict.Wait wait -> enqueue(new Selection.Wait("stream_version_asked", false));
            case StreamContinuity.Verdict.Refuse refusal -> fail(refusal.reason(), StreamContinuity.RETRY_AFTER, now);
        }
    }

    private void dispatch(Set<String> softwareVersions, MonotonicTime now) {
        if (!mayRun(now)) {
            return;
        }
        SelectionRequest wanted = selectionRequest(softwareVersions, now);
        Selection selection = environment.selector().select(wanted, service, environment.upstreams(), now);
        environment.metrics().countSelection(selection);
        boolean isWaitUseful = triedUpstreams.hasTemporaryExclusion(now);
        switch (selection) {
            case Selection.Send send -> send(send, now);
            case Selection.Wait wait -> enqueue(wait);
            case Selection.Refuse refusal when isWaitUseful -> enqueue(new Selection.Wait(refusal.reason(), false));
            case Selection.Refuse refusal -> {
                ReturnOffer offer = isResponseStarted || mayHaveRun
                        ? ReturnOffer.unpromised(refusal)
                        : ReturnOffer.of(refusal, wanted, environment, now);
                RequestLog.refused(identifier, request, refusal.reason(), offer);
                fail(offer.reason(), offer.retryAfter(), now);
            }
        }
    }

    /** Returns whether crash suspicion lets the request run, possibly as a trial; otherwise queues or ends it. */
    private boolean mayRun(MonotonicTime now) {
        switch (suspicion.check(this::countCopies, now)) {
            case CrashSuspicion.Verdict.Run run -> {
                run.excluded().forEach(upstream -> triedUpstreams.excludeForQuarantine(upstream.value()));
                return true;
            }
            case CrashSuspicion.Verdict.Wait wait ->
                enqueue(new Selection.Wait("suspected_of_crashing_upstreams", false));
            case CrashSuspicion.Verdict.Refuse refusal -> fail(refusal.reason(), refusal.retryAfter(), now);
        }
        return false;
    }

    private int countCopies(Set<UpstreamName> without) {
        return environment.upstreams().countWithModel(service.name(), request.model(), without);
    }

    private SelectionRequest selectionRequest(Set<String> softwareVersions, MonotonicTime now) {
        return new SelectionRequest(
                service.name(),
                request.model(),
                request.adapter(),
                request.promptTokens(),
                environment.promptLengths().mean(route.name()),
                request.totalTokens(),
                request.promptSegments(),
                priority(),
                waitingSince,
                deadline,
                route.latencyObjective(),
                environment.shortestObjectives(service.name()),
                waitingSince.plus(route.firstEventTimeout()).earlierOf(deadline),
                softwareVersions,
                triedUpstreams.excluded(now),
                triedUpstreams.avoided());
    }

    private void enqueue(Selection.Wait wait) {
        String adapter = countCopies(Set.of()) > 0 ? request.adapter() : "";
        Optional<ModelRequest> newModelRequest = wait.needsPlacement()
                ? Optional.of(new ModelRequest(service.name(), request.model(), adapter))
                : Optional.empty();
        boolean isNewModelRequest = newModelRequest.isPresent() && !newModelRequest.equals(modelRequest);
        modelRequest = newModelRequest;
        if (!isWaiting) {
            isWaiting = true;
            environment.queue().add(this);
            RequestLog.waiting(identifier, request, wait.reason());
        }
        if (isNewModelRequest) {
            environment.onModelRequest().run();
        }
    }

    @Override
    public boolean tryStart(MonotonicTime now) {
        dispatch(now);
        return !isWaiting;
    }

    private void leaveQueue() {
        if (isWaiting) {
            isWaiting = false;
            modelRequest = Optional.empty();
            environment.queue().remove(this);
        }
    }

    private void send(Selection.Send send, MonotonicTime now) {
        boolean isRetry = attemptCount > 0;
        boolean isBudgetNeeded = isRetry && attempt != null && attempt.needsRetryBudget;
        if (isBudgetNeeded && !environment.tryWithdrawRetry(service.name(), now)) {
            fail("retry_budget_exhausted", Refusals.DEFAULT_RETRY_AFTER, now);
            return;
        }
        if (!isRetry) {
            environment.metrics().observeQueueing(now.since(arrivedAt));
            environment.recordSent(service.name(), request, now);
        }
        leaveQueue();
        attemptCount++;
        Upstream upstream = send.upstream();
        LoadSnapshot load = upstream.load(now);
        upstream.rateLimit().recordSent(now);
        RequestLog.sent(identifier, request, send, load, attemptCount, now.since(arrivedAt));
        if (!request.adapter().isEmpty()) {
            upstream.adapterUses().record(request.model() + "/" + request.adapter(), now);
        }
        suspicion.recordSent(now);
        continuity.recordAttempt();
        attempt = new Attempt(send, load.tokensAwaitingPrefill(), now);
        attempt.begin();
    }

    /** Called after an attempt that sent nothing to the caller, or whose stream another upstream may resume. */
    private void retryOrFail(String reason, MonotonicTime now) {
        boolean mayRepeat = !mayHaveRun || route.isRepeatable();
        boolean hasRunsLeft = possibleRuns < Math.max(1, route.maximumAttempts());
        if (mayRepeat && hasRunsLeft && attemptCount < MAXIMUM_ATTEMPTS && now.isBefore(deadline)) {
            dispatch(now);
        } else {
            fail(reason, Refusals.DEFAULT_RETRY_AFTER, now);
        }
    }

    private void fail(String reason, Duration retryAfter, MonotonicTime now) {
        if (isResponseStarted) {
            end("cut", reason, now);
            response.abort();
        } else {
            refuse(Refusals.failed(reason, mayHaveRun, retryAfter), now);
        }
    }

    private void refuse(Refusal refusal, MonotonicTime now) {
        if (refusal.isNotRun()) {
            reservation.refund(now);
        }
        HttpHeaders headers = Messages.refusal(refusal, identifier, environment.format());
        end(refusal.code().text(), refusal.message(), now);
        response.sendFull(refusal.status(), headers, Unpooled.wrappedBuffer(refusal.body()));
    }

    /** Ends the request and cancels its attempt, since the caller has closed the connection. */
    void onCallerDisconnected() {
        if (!isEnded) {
            MonotonicTime now = environment.clock().get();
            if (attempt == null) {
                reservation.refund(now);
            }
            end("caller_gone", "connection closed", now);
        }
    }

    void expire(MonotonicTime now) {
        if (isEnded || now.isBefore(deadline)) {
            return;
        }
        if (isResponseStarted) {
            fail("deadline", Refusals.DEFAULT_RETRY_AFTER, now);
        } else {
            refuse(Refusals.expired(mayHaveRun || (attempt != null && attempt.isOpen())), now);
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
            suspicion.endTrial(now);
        }
        incoming.body().release();
        String routeName = route == null ? "none" : route.name();
        environment.metrics().countRequest(routeName, outcome);
        RequestLog.ended(
                identifier,
                routeName,
                teamName(),
                outcome,
                reason,
                attemptCount,
                mayHaveRun,
                now.since(arrivedAt),
                configurationVersion);
        onEnd.accept(this);
    }

    private void observeFirstByte(MonotonicTime now) {
        environment.metrics().observeFirstByte(route.name(), now.since(arrivedAt));
    }

    private FullHttpRequest upstreamRequest(Upstream upstream) {
        ForwardingMetadata forwarding = new ForwardingMetadata(
                upstream.description().identifier(),
                deadline.since(environment.clock().get()),
                team.map(Team::name),
                environment.engineRank(service, route, priority(), arrivedAt),
                continuity.resumeAfter());
        return Messages.toUpstream(incoming, forwarding, environment.format());
    }

    private final class Attempt extends UpstreamAttempt {

        private final long tokensAwaitingPrefill;

        private Attempt(Selection.Send send, long tokensAwaitingPrefill, MonotonicTime now) {
            super(environment, send, request, continuity.resumeAfter(), now);
            this.tokensAwaitingPrefill = tokensAwaitingPrefill;
        }

        private void begin() {
            UpstreamExchange started = environment
                    .connections()
                    .send(identifier, upstream, () -> upstreamRequest(upstream), route.isRepeatable(), deadline, this);
            attach(started);
            response.onWritabilityChanged(started::setReading);
        }

        @Override
        protected CrashEvidence evidence() {
            return suspicion.evidence();
        }

        @Override
        protected boolean isStream() {
            return route.kind() == RequestKind.STREAM;
        }

        @Override
        protected void onEvents(HttpResponse head, ByteBuf events, OptionalLong lastIdentifier) {
            MonotonicTime now = environment.clock().get();
            if (isFirstEvent()) {
                Duration atUsualPace = upstream.pace().atUsualPace(now.since(startedAt), now);
                environment.prefillRates().observe(request.model(), tokensAwaitingPrefill + unreadTokens, atUsualPace);
                upstream.keptPrompts().add(request.model(), request.adapter(), request.promptSegments(), now);
            } else {
                suspicion.recordContinuedAnswer(now);
            }
            startResponse(head, now);
            continuity.recordEvents(upstream.description().softwareVersion(), lastIdentifier, now);
            response.sendChunk(events);
        }

        private void startResponse(HttpResponse head, MonotonicTime now) {
            if (!isResponseStarted) {
                observeFirstByte(now);
                isResponseStarted = true;
                mayHaveRun = true;
                response.begin(head.status().code(), Messages.toCaller(head));
            }
        }

        @Override
        protected void onStreamEnd(HttpResponse head) {
            MonotonicTime now = environment.clock().get();
            startResponse(head, now);
            suspicion.recordSuccess(now);
            continuity.recordEnd(now);
            end("ok", "complete", now);
            response.end();
        }

        @Override
        protected void onFullResponse(HttpResponse head, ResponseHead parsedHead, ByteBuf body) {
            MonotonicTime now = environment.clock().get();
            possibleRuns++;
            mayHaveRun = true;
            upstream.record(parsedHead.isServerError(), now);
            boolean mayRetry = parsedHead.isServerError()
                    && route.isRepeatable()
                    && possibleRuns < route.maximumAttempts()
                    && now.isBefore(deadline)
                    && !isResponseStarted;
            if (mayRetry && environment.tryWithdrawRetry(service.name(), now)) {
                body.release();
                needsRetryBudget = false;
                triedUpstreams.markFailed(upstream.description().identifier());
                retryOrFail("upstream_failed", now);
                return;
            }
            if (isResponseStarted) {
                // The upstream did not resume the stream, so the response that has been started can't be completed.
                body.release();
                fail("resume_failed", Refusals.DEFAULT_RETRY_AFTER, now);
                return;
            }
            observeFirstByte(now);
            if (parsedHead.isSuccess()) {
                suspicion.recordSuccess(now);
            }
            end(parsedHead.isSuccess() ? "ok" : "upstream_status_" + parsedHead.status(), "complete", now);
            response.sendFull(head.status().code(), Messages.toCaller(head), body);
        }

        @Override
        protected void onRejected(ResponseHead parsedHead) {
            MonotonicTime now = environment.clock().get();
            String identifier = upstream.description().identifier();
            if (parsedHead.retryAfter().isEmpty()) {
                triedUpstreams.excludeUntil(identifier, now.plus(REJECTION_EXCLUSION));
            }
            recordRejection(parsedHead, now);
            retryOrFail("rejected_" + parsedHead.status(), now);
        }

        @Override
        protected void onNotSent(String reason) {
            MonotonicTime now = environment.clock().get();
            needsRetryBudget = false;
            upstream.markUnreachable(now);
            triedUpstreams.excludeUntil(upstream.description().identifier(), now.plus(REJECTION_EXCLUSION));
            retryOrFail("unreachable", now);
        }

        @Override
        protected void onBroken(String reason, boolean mayHaveCrashed) {
            MonotonicTime now = environment.clock().get();
            possibleRuns++;
            mayHaveRun = true;
            if (mayHaveCrashed) {
                upstream.record(true, now);
                suspicion.recordBrokenAttempt(upstream, now);
            } else {
                suspicion.recordInconclusiveAttempt(upstream, now);
            }
            if (isResponseStarted) {
                waitingSince = now;
            }
            triedUpstreams.markFailed(upstream.description().identifier());
            retryOrFail(reason, now);
        }
    }
}
