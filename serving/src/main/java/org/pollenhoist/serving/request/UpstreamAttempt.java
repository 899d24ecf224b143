package org.pollenhoist.serving.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.forwarding.UpstreamExchange;
import org.pollenhoist.serving.http.ConnectionUse;
import org.pollenhoist.serving.http.ExchangeFailure;
import org.pollenhoist.serving.http.ResponseListener;
import org.pollenhoist.serving.routing.Selection;
import org.pollenhoist.serving.upstream.Upstream;

/**
 * Reads and checks the response to one attempt, and counts the attempt in the upstream's load while it runs. Subclasses
 * decide how the request goes on. Confined to the event loop.
 */
abstract class UpstreamAttempt implements ResponseListener {

    /** Status of a response whose sender is not the intended upstream, or lacks the model or adapter. */
    private static final int MISDIRECTED_REQUEST = 421;

    private static final DecisionLog LOG = DecisionLog.of("request");
    private static final String EVENT_STREAM = "text/event-stream";

    /** Largest response that is buffered before it is passed on, in bytes. */
    private static final int MAXIMUM_BUFFERED_BYTES = 8 << 20;

    protected final Upstream upstream;
    protected final MonotonicTime startedAt;

    /** Prompt tokens that the upstream is expected to read, without those that it still keeps. */
    protected final long unreadTokens;

    /** Whether a further attempt after this one has to be withdrawn from the retry budget. */
    protected boolean needsRetryBudget = true;

    private final RequestEnvironment environment;
    private final CallerRequest request;
    private final Optional<Long> resumedAfter;
    private final ResponseBufferBudget.Holder buffers = new Buffers();
    private UpstreamExchange exchange;
    private HttpResponse head;
    private ResponseHead parsedHead;
    private EventStream eventStream;
    private ByteBuf bufferedBody = Unpooled.EMPTY_BUFFER;
    private boolean isPrefillDone;
    private boolean isFirstEvent = true;
    private boolean isClosed;
    private Optional<Duration> maximumWaitAfterDiscarding = Optional.empty();

    /**
     * Starts to count as load of the upstream.
     *
     * @param send the decision to send the request
     * @param resumedAfter the last event that the caller has received in the same response, empty if there is none
     */
    UpstreamAttempt(
            RequestEnvironment environment,
            Selection.Send send,
            CallerRequest request,
            Optional<Long> resumedAfter,
            MonotonicTime now) {
        this.resumedAfter = resumedAfter;
        this.environment = environment;
        this.upstream = send.upstream();
        this.request = request;
        this.startedAt = now;
        this.unreadTokens = request.promptTokens() - send.saving().keptTokens();
        upstream.begin(unreadTokens, request.totalTokens());
    }

    /** Sets the exchange of this attempt, and cancels it if the attempt has already ended. */
    final void attach(UpstreamExchange started) {
        exchange = started;
        if (isClosed) {
            started.cancel();
        }
    }

    final boolean isOpen() {
        return !isClosed;
    }

    final boolean isFirstEvent() {
        return isFirstEvent;
    }

    final void cancel() {
        if (!isClosed) {
            close("cancelled");
            MonotonicTime now = environment.clock().get();
            CrashEvidence evidence = evidence();
            LOG.event(
                    "attempt_cancelled",
                    "request",
                    request.identifier(),
                    "fingerprint",
                    evidence.request(),
                    "upstream",
                    upstream.description().identifier(),
                    "after_ms",
                    now.since(startedAt).toMillis());
            if (exchange != null) {
                if (exchange.isSent()) {
                    environment.inconclusiveAttempts().add(evidence, upstream, now);
                }
                exchange.cancel();
            }
        }
    }

    private void close(String result) {
        isClosed = true;
        upstream.end(isPrefillDone ? 0 : unreadTokens, request.totalTokens());
        environment.metrics().countAttempt(result);
        if (eventStream != null) {
            eventStream.dropPartialEvent();
        }
        environment.responseBufferBudget().release(buffers);
        bufferedBody.release();
        bufferedBody = Unpooled.EMPTY_BUFFER;
    }

    @Override
    public final boolean onHead(HttpResponse responseHead, ConnectionUse use) {
        upstream.recordActivity(environment.clock().get());
        ResponseHead candidate = environment.format().readResponse(responseHead);
        boolean isAwaited = candidate.belongsTo(request.identifier(), use);
        ResponseLog.received(request.identifier(), upstream, candidate, use, isAwaited);
        if (!isAwaited) {
            maximumWaitAfterDiscarding = candidate.maximumWaitAfterDiscarding(use);
            return false;
        }
        head = responseHead;
        parsedHead = candidate;
        environment
                .notices()
                .handleEndOfLimits(
                        upstream, candidate, startedAt, environment.clock().get());
        boolean isEventStream =
                responseHead.headers().get(HttpHeaderNames.CONTENT_TYPE, "").startsWith(EVENT_STREAM);
        if (isStream() && parsedHead.isSuccess() && isEventStream) {
            eventStream = new EventStream(
                    PooledByteBufAllocator.DEFAULT, environment.format().eventFields(), resumedAfter);
        }
        if (parsedHead.isSuccess() && !isTrustworthy()) {
            abort("answer_not_genuine");
        }
        return true;
    }

    @Override
    public final Optional<Duration> maximumWaitAfterDiscarding() {
        return maximumWaitAfterDiscarding;
    }

    private boolean isTrustworthy() {
        return parsedHead.isGenuine() && !head.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
    }

    @Override
    public final void onBody(ByteBuf chunk) {
        if (isClosed) {
            return;
        }
        if (eventStream == null) {
            buffer(chunk);
            return;
        }
        upstream.recordActivity(environment.clock().get());
        Optional<ByteBuf> complete = eventStream.append(chunk);
        if (complete.isPresent()) {
            markPrefillDone();
            onEvents(head, complete.get(), eventStream.lastIdentifier());
            isFirstEvent = false;
        }
        if (!isClosed && !eventStream.goesOn()) {
            abort("no_continuation_of_the_stream");
        }
        if (!isClosed && eventStream.hasForeignBytes()) {
            abort("bytes_that_are_no_event");
        }
        if (!isClosed && eventStream.isEventTooLong()) {
            abort("event_too_large");
        }
        if (!isClosed) {
            environment.responseBufferBudget().resize(buffers, eventStream.bufferedBytes());
        }
    }

    private void markPrefillDone() {
        if (!isPrefillDone) {
            isPrefillDone = true;
            upstream.recordFirstToken(unreadTokens);
        }
    }

    private void buffer(ByteBuf chunk) {
        if (bufferedBody.readableBytes() + chunk.readableBytes() > MAXIMUM_BUFFERED_BYTES) {
            abort("answer_too_large");
            return;
        }
        if (bufferedBody.capacity() == 0) {
            // On the heap: a thread that asks for direct memory beyond the limit is put to sleep, and all requests with
            // it.
            bufferedBody = PooledByteBufAllocator.DEFAULT.heapBuffer(chunk.readableBytes());
        }
        bufferedBody.writeBytes(chunk);
        environment.responseBufferBudget().resize(buffers, bufferedBody.capacity());
    }

    /** What this attempt has buffered. */
    private final class Buffers implements ResponseBufferBudget.Holder {

        @Override
        public String upstream() {
            return upstream.description().identifier();
        }

        @Override
        public void giveUp() {
            abort("no_memory_for_answers");
        }
    }

    @Override
    public final void onEnd() {
        if (isClosed) {
            return;
        }
        boolean isRejection = parsedHead.isNotRun() || parsedHead.status() == MISDIRECTED_REQUEST;
        if (isRejection) {
            close("rejected");
            logFailure("rejected", "status " + parsedHead.status());
            onRejected(parsedHead);
        } else if (eventStream == null) {
            ByteBuf body = bufferedBody.retain();
            close(parsedHead.isSuccess() ? "ok" : "failed");
            onFullResponse(head, parsedHead, body);
        } else if (eventStream.hasPartialEvent()) {
            close("broken");
            logFailure("broken", "stream ended within an event");
            onBroken("ended_within_an_event", true);
        } else if (isFirstEvent && (resumedAfter.isPresent() || !hasExplicitEnd())) {
            close("broken");
            logFailure("broken", "stream without a length, or continuation, ended before its first event");
            onBroken("ended_before_the_first_event", true);
        } else {
            close("ok");
            upstream.record(false, environment.clock().get());
            onStreamEnd(head);
        }
    }

    private boolean hasExplicitEnd() {
        return HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    }

    private void abort(String reason) {
        close("broken");
        logFailure("broken", reason);
        if (exchange != null) {
            exchange.cancel();
        }
        onBroken(reason, true);
    }

    @Override
    public final void onFailure(ExchangeFailure failure, String reason) {
        if (isClosed) {
            return;
        }
        close(failure.isSent() ? "broken" : "unreachable");
        String result = failure.name().toLowerCase(Locale.ROOT);
        logFailure(result, reason);
        switch (failure) {
            case NOT_SENT, CONNECT_TIMED_OUT -> onNotSent(reason);
            case PATH_LOST -> onBroken(result, false);
            case NO_ANSWER, BROKEN_ANSWER, MALFORMED_ANSWER -> onBroken(result, true);
        }
    }

    /** Applies to the upstream's state what its rejection shows. */
    final void recordRejection(ResponseHead rejection, MonotonicTime now) {
        if (rejection.status() != MISDIRECTED_REQUEST) {
            upstream.record(true, now);
        } else if (rejection.upstreamIdentifier().filter(this::isOtherUpstream).isPresent()) {
            upstream.markUnreachable(now);
        } else {
            upstream.markMissing(request.model(), request.adapter());
        }
    }

    private boolean isOtherUpstream(String identifier) {
        return !identifier.equals(upstream.description().identifier());
    }

    private void logFailure(String result, String reason) {
        LOG.event(
                "attempt_failed",
                "request",
                request.identifier(),
                "upstream",
                upstream.description().identifier(),
                "result",
                result,
                "reason",
                reason,
                "after_ms",
                environment.clock().get().since(startedAt).toMillis(),
                "progress",
                progress(),
                "segments",
                request.promptSegments().stream().map(PromptSegment::identifier).toList());
    }

    /** Returns how much of the response has been received, for the log. */
    private String progress() {
        if (isPrefillDone) {
            return "events";
        }
        return head == null ? "none" : "head";
    }

    /** Returns what this attempt proves if its upstream has crashed. */
    protected abstract CrashEvidence evidence();

    /** Returns whether the response is expected to be a stream of events. */
    protected abstract boolean isStream();

    /** Receives complete events, and has to release them. */
    protected abstract void onEvents(HttpResponse responseHead, ByteBuf completeEvents, OptionalLong lastIdentifier);

    /** Called when the stream has ended after a complete event. */
    protected abstract void onStreamEnd(HttpResponse responseHead);

    /** Receives a complete response to a request that was run, and has to release the body. */
    protected abstract void onFullResponse(HttpResponse responseHead, ResponseHead parsedHead, ByteBuf body);

    /** Called when the upstream has stated that it did not run the request. */
    protected abstract void onRejected(ResponseHead parsedHead);

    /** Called when nothing of the request was sent. */
    protected abstract void onNotSent(String reason);

    /**
     * Called when the request may have run, and no complete or valid response can be obtained.
     *
     * @param reason the reason for the log and the caller
     * @param mayHaveCrashed whether the upstream may have crashed; otherwise the way to it was lost
     */
    protected abstract void onBroken(String reason, boolean mayHaveCrashed);
}
