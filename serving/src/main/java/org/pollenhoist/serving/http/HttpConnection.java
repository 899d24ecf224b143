package org.pollenhoist.serving.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.pollenhoist.common.MonotonicTime;

/** One connection to another end, with at most one exchange on it. Confined to the event loop. */
final class HttpConnection extends ChannelInboundHandlerAdapter {

    private static final String KEEP_ALIVE = "Keep-Alive";
    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

    /** Interim heads that may come before an answer. */
    private static final int MAXIMUM_INTERIM_HEADS = 8;

    /** Answers to other requests that may come before an answer. */
    private static final int MAXIMUM_SKIPPED_ANSWERS = 8;

    /** Bytes of such answers that are read. */
    private static final long MAXIMUM_SKIPPED_BYTES = 1L << 20;

    private enum AnswerState {
        NONE,
        ACCEPTED,
        SKIPPED,
        INTERIM
    }

    private final HttpConnectionPool connections;
    private final Target target;
    private ChannelHandlerContext context;
    private HttpExchange exchange;
    private ChannelFuture written;
    private AnswerState state = AnswerState.NONE;
    private boolean isReusable = true;
    private boolean isReset;
    private int interimHeads;
    private int skippedAnswers;
    private long skippedBytes;
    private Duration keepAlive = HttpConnectionPool.DEFAULT_KEEP_ALIVE;
    private MonotonicTime idleSince;

    HttpConnection(HttpConnectionPool connections, Target target) {
        this.connections = connections;
        this.target = target;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext addedContext) {
        context = addedContext;
    }

    Target target() {
        return target;
    }

    Duration keepAlive() {
        return keepAlive;
    }

    boolean isOpen() {
        return context.channel().isActive();
    }

    Duration idleTime(MonotonicTime now) {
        return now.since(idleSince);
    }

    void markIdle(MonotonicTime now) {
        idleSince = now;
    }

    void start(HttpExchange newExchange) {
        exchange = newExchange;
        state = AnswerState.NONE;
        interimHeads = 0;
        skippedAnswers = 0;
        skippedBytes = 0;
        written = context.writeAndFlush(newExchange.begin(this));
    }

    void setReading(boolean isReading) {
        context.channel().config().setAutoRead(isReading);
    }

    /** Drops what was not delivered yet: it must not arrive after its sender has given it up. */
    void reset() {
        isReusable = false;
        context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        context.close();
    }

    void close() {
        isReusable = false;
        context.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext readContext, Object message) {
        try {
            if (exchange == null || exchange.isEnded()) {
                // Bytes that belong to no request.
                close();
                return;
            }
            read(message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(Object message) {
        if (message instanceof HttpResponse head) {
            if (head.decoderResult().isFailure()) {
                fail(ExchangeFailure.MALFORMED_ANSWER, "unreadable head");
                return;
            }
            readHead(head);
        }
        if (message instanceof HttpContent content && exchange != null && !exchange.isEnded()) {
            if (content.decoderResult().isFailure()) {
                fail(ExchangeFailure.BROKEN_ANSWER, "unreadable body");
                return;
            }
            readContent(content);
        }
    }

    private void readHead(HttpResponse head) {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            state = AnswerState.INTERIM;
            interimHeads++;
            if (interimHeads > MAXIMUM_INTERIM_HEADS) {
                fail(ExchangeFailure.MALFORMED_ANSWER, "more than " + MAXIMUM_INTERIM_HEADS + " interim heads");
            }
            return;
        }
        Matcher timeout = KEEP_ALIVE_TIMEOUT.matcher(head.headers().get(KEEP_ALIVE, ""));
        if (timeout.find()) {
            keepAlive = Duration.ofSeconds(Long.parseLong(timeout.group(1)));
        }
        if (!HttpUtil.isKeepAlive(head)) {
            isReusable = false;
        }
        connections.answered(target, head);
        boolean isAccepted = exchange.listener().onHead(head);
        state = isAccepted ? AnswerState.ACCEPTED : AnswerState.SKIPPED;
        if (!isAccepted) {
            isReusable = false;
            skippedAnswers++;
        }
    }

    private void readContent(HttpContent content) {
        ByteBuf bytes = content.content();
        if (state == AnswerState.SKIPPED) {
            skippedBytes += bytes.readableBytes();
        }
        if (skippedAnswers > MAXIMUM_SKIPPED_ANSWERS || skippedBytes > MAXIMUM_SKIPPED_BYTES) {
            fail(
                    ExchangeFailure.MALFORMED_ANSWER,
                    skippedAnswers + " answers to other requests with " + skippedBytes + " bytes");
            return;
        }
        if (state == AnswerState.ACCEPTED && bytes.isReadable()) {
            exchange.listener().onBody(bytes);
        }
        if (!(content instanceof LastHttpContent) || exchange.isEnded()) {
            return;
        }
        switch (state) {
            case ACCEPTED -> finish();
            case SKIPPED, INTERIM -> state = AnswerState.NONE;
            case NONE -> fail(ExchangeFailure.MALFORMED_ANSWER, "body without a head");
        }
    }

    private void finish() {
        if (isReset) {
            fail(ExchangeFailure.BROKEN_ANSWER, "connection reset");
            return;
        }
        HttpExchange ended = exchange;
        exchange = null;
        // The other end may still be reading a body that it has answered early.
        boolean canBeUsedAgain = isReusable && written.isSuccess() && isOpen();
        if (canBeUsedAgain) {
            context.channel().config().setAutoRead(true);
            connections.release(this);
        } else {
            context.close();
        }
        ended.end();
    }

    private void fail(ExchangeFailure failure, String reason) {
        HttpExchange failed = exchange;
        exchange = null;
        isReusable = false;
        context.close();
        if (failed != null) {
            failed.fail(failure, reason);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failedContext, Throwable cause) {
        isReset = true;
        fail(failureNow(), String.valueOf(cause.getMessage()));
    }

    @Override
    public void channelInactive(ChannelHandlerContext closedContext) {
        connections.forget(this);
        if (exchange != null) {
            fail(failureNow(), "connection closed");
        }
    }

    private ExchangeFailure failureNow() {
        return state == AnswerState.ACCEPTED ? ExchangeFailure.BROKEN_ANSWER : ExchangeFailure.NO_ANSWER;
    }
}
