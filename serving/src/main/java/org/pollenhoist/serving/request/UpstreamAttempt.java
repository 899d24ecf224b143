package org.pollenhoist.serving.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.OptionalLong;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.request.RequestFingerprint;
import org.pollenhoist.serving.http.ExchangeFailure;
import org.pollenhoist.serving.http.HttpExchange;
import org.pollenhoist.serving.http.ResponseListener;
import org.pollenhoist.serving.upstream.Upstream;

/**
 * Reads the answer to one attempt, checks it, and counts the attempt at its upstream for as long as it runs. What is to
 * be done with the answer is left to the request. Confined to the event loop.
 */
abstract class UpstreamAttempt implements ResponseListener {

    /** Status of an upstream that is not the one meant, or lacks the model or adapter. */
    static final int MISDIRECTED = 421;

    private static final DecisionLog LOG = DecisionLog.of("request");
    private static final String EVENT_STREAM = "text/event-stream";

    /** Largest answer that is gathered before it is passed on, in bytes. */
    private static final int MAXIMUM_WHOLE_BYTES = 8 << 20;

    protected final Upstream upstream;
    protected final MonotonicTime startedAt;

    /** Whether a further attempt after this one draws on the retry budget. */
    protected boolean isCounted = true;

    private final RequestEnvironment environment;
    private final CallerRequest asked;
    private HttpExchange exchange;
    private HttpResponse head;
    private ResponseHead read;
    private EventStream events;
    private ByteBuf whole = Unpooled.EMPTY_BUFFER;
    private boolean isPromptRead;
    private boolean isFirstEvent = true;
    private boolean isOver;

    UpstreamAttempt(RequestEnvironment environment, Upstream upstream, CallerRequest asked, MonotonicTime now) {
        this.environment = environment;
        this.upstream = upstream;
        this.asked = asked;
        this.startedAt = now;
        upstream.begin(asked.promptTokens(), asked.totalTokens());
    }

    /** Takes the exchange over; it may have failed already. */
    final void follow(HttpExchange started) {
        exchange = started;
        if (isOver) {
            started.cancel();
        }
    }

    final boolean isOpen() {
        return !isOver;
    }

    final boolean isFirstEvent() {
        return isFirstEvent;
    }

    final void cancel() {
        if (!isOver) {
            close("cancelled");
            MonotonicTime now = environment.clock().get();
            LOG.event(
                    "attempt_cancelled",
                    "request",
                    asked.identifier(),
                    "fingerprint",
                    fingerprint(),
                    "upstream",
                    upstream.description().identifier(),
                    "after_ms",
                    now.since(startedAt).toMillis());
            if (exchange != null) {
                if (exchange.isSent()) {
                    environment.unanswered().add(fingerprint(), upstream, now);
                }
                exchange.cancel();
            }
        }
    }

    private void close(String result) {
        isOver = true;
        upstream.end(isPromptRead ? 0 : asked.promptTokens(), asked.totalTokens());
        environment.metrics().countAttempt(result);
        if (events != null) {
            events.dropPartialEvent();
        }
        environment.responseBufferBudget().release(whole.readableBytes());
        whole.release();
        whole = Unpooled.EMPTY_BUFFER;
    }

    @Override
    public final boolean onHead(HttpResponse answerHead) {
        upstream.recordActivity(environment.clock().get());
        ResponseHead candidate = environment.format().readResponse(answerHead);
        boolean isOurs = candidate.requestIdentifier().isPresent()
                ? candidate.requestIdentifier().get().equals(asked.identifier())
                : !candidate.isSuccess();
        if (!isOurs) {
            LOG.event(
                    "foreign_answer",
                    "request",
                    asked.identifier(),
                    "upstream",
                    upstream.description().identifier(),
                    "names",
                    candidate.requestIdentifier().orElse("none"),
                    "status",
                    candidate.status());
            return false;
        }
        head = answerHead;
        read = candidate;
        boolean isEventStream =
                answerHead.headers().get(HttpHeaderNames.CONTENT_TYPE, "").startsWith(EVENT_STREAM);
        if (isStream() && read.isSuccess() && isEventStream) {
            events = new EventStream(PooledByteBufAllocator.DEFAULT);
        }
        if (read.isSuccess() && !isTrustworthy()) {
            breakOff("answer_not_genuine");
        }
        return true;
    }

    private boolean isTrustworthy() {
        return read.isGenuine() && !head.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
    }

    @Override
    public final void onBody(ByteBuf part) {
        if (isOver) {
            return;
        }
        if (events == null) {
            gather(part);
            return;
        }
        upstream.recordActivity(environment.clock().get());
        Optional<ByteBuf> complete = events.append(part);
        if (complete.isPresent()) {
            markPromptRead();
            onEvents(head, complete.get(), events.lastIdentifier());
            isFirstEvent = false;
        }
        if (!isOver && events.isEventTooLong()) {
            breakOff("event_too_large");
        }
    }

    private void markPromptRead() {
        if (!isPromptRead) {
            isPromptRead = true;
            upstream.recordFirstToken(asked.promptTokens());
        }
    }

    private void gather(ByteBuf part) {
        if (whole.readableBytes() + part.readableBytes() > MAXIMUM_WHOLE_BYTES) {
            breakOff("answer_too_large");
            return;
        }
        if (!environment.responseBufferBudget().tryReserve(part.readableBytes())) {
            breakOff("no_memory_for_answers");
            return;
        }
        if (whole.capacity() == 0) {
            whole = PooledByteBufAllocator.DEFAULT.buffer(part.readableBytes());
        }
        whole.writeBytes(part);
    }

    @Override
    public final void onEnd() {
        if (isOver) {
            return;
        }
        boolean isRejection = read.isNotRun() || read.status() == MISDIRECTED;
        if (isRejection) {
            close("rejected");
            log("rejected", "status " + read.status());
            onRejected(read);
        } else if (events == null) {
            ByteBuf body = whole.retain();
            close(read.isSuccess() ? "ok" : "failed");
            onWhole(head, read, body);
        } else if (events.hasPartialEvent()) {
            close("broken");
            log("broken", "ended within an event");
            onBroken("ended_within_an_event");
        } else {
            close("ok");
            upstream.record(false, environment.clock().get());
            onStreamEnd(head);
        }
    }

    private void breakOff(String reason) {
        close("broken");
        log("broken", reason);
        if (exchange != null) {
            exchange.cancel();
        }
        onBroken(reason);
    }

    @Override
    public final void onFailure(ExchangeFailure failure, String reason) {
        if (isOver) {
            return;
        }
        close(failure == ExchangeFailure.NOT_SENT ? "unreachable" : "broken");
        log(failure.name().toLowerCase(java.util.Locale.ROOT), reason);
        if (failure == ExchangeFailure.NOT_SENT) {
            onUnsent(reason);
        } else {
            onBroken(failure.name().toLowerCase(java.util.Locale.ROOT));
        }
    }

    private void log(String result, String reason) {
        LOG.event(
                "attempt_failed",
                "request",
                asked.identifier(),
                "upstream",
                upstream.description().identifier(),
                "result",
                result,
                "reason",
                reason,
                "after_ms",
                environment.clock().get().since(startedAt).toMillis());
    }

    /** What tells the request apart from others. */
    protected abstract RequestFingerprint fingerprint();

    /** Whether the request asks for a stream of events. */
    protected abstract boolean isStream();

    /** Whole events came; the receiver releases them. */
    protected abstract void onEvents(HttpResponse answerHead, ByteBuf wholeEvents, OptionalLong lastIdentifier);

    /** The stream is complete. */
    protected abstract void onStreamEnd(HttpResponse answerHead);

    /** A whole answer came that states that the request ran; the receiver releases the body. */
    protected abstract void onWhole(HttpResponse answerHead, ResponseHead answer, ByteBuf body);

    /** The upstream states that the request was not run. */
    protected abstract void onRejected(ResponseHead answer);

    /** Nothing was sent. */
    protected abstract void onUnsent(String reason);

    /** The request may have run, and its answer is not to be had. */
    protected abstract void onBroken(String reason);
}
