package org.pollenhoist.serving.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.upstream.ResponseDecoder;

/** A client connection, which carries at most one exchange at a time. Confined to the event loop. */
final class HttpConnection extends ChannelInboundHandlerAdapter {

    private static final DecisionLog LOG = DecisionLog.of("connection");
    private static final String UNNAMED_RESPONSE = "only a response that names no request";
    private static final String KEEP_ALIVE = "Keep-Alive";
    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

    /** Maximum number of interim (1xx) responses before a final response. */
    private static final int MAXIMUM_INTERIM_RESPONSES = 8;

    /** Maximum number of responses to other requests that are discarded before the awaited response. */
    private static final int MAXIMUM_SKIPPED_RESPONSES = 8;

    /** Maximum number of bytes of such responses that are read, over all of them. */
    private static final long MAXIMUM_SKIPPED_BYTES = 1L << 20;

    private enum ResponseState {
        NONE,
        ACCEPTED,
        SKIPPED,
        INTERIM
    }

    private final HttpConnectionPool connections;
    private final Target target;
    private final ResponseDecoder decoder;
    private final long number;
    private ChannelHandlerContext context;
    private HttpExchange exchange;
    private ChannelFuture written;
    private ResponseState state = ResponseState.NONE;
    private final CarriedRequests carriedRequests = new CarriedRequests();
    private int exchanges;
    private boolean isSuccess;
    private boolean isReusable = true;
    private boolean isReset;
    private int interimResponses;
    private int skippedResponses;
    private long skippedBytes;
    private Duration keepAlive = HttpConnectionPool.DEFAULT_KEEP_ALIVE;
    private MonotonicTime idleSince;

    /**
     * Creates a connection.
     *
     * @param number the number of the connection, for the log
     * @param decoder the decoder before this handler
     */
    HttpConnection(HttpConnectionPool connections, Target target, long number, ResponseDecoder decoder) {
        this.connections = connections;
        this.target = target;
        this.number = number;
        this.decoder = decoder;
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

    /** Returns whether a request may be sent, which is the case unless an attempt of it was sent here before. */
    boolean mayCarry(String identifier) {
        return !carriedRequests.contains(identifier);
    }

    void start(HttpExchange newExchange) {
        exchange = newExchange;
        exchanges++;
        state = ResponseState.NONE;
        interimResponses = 0;
        skippedResponses = 0;
        skippedBytes = 0;
        FullHttpRequest request = newExchange.begin(this);
        decoder.awaitResponseTo(request.method());
        isReusable &= !request.method().equals(HttpMethod.HEAD);
        written = context.writeAndFlush(request);
        written.addListener(this::recordWritten);
    }

    /**
     * Records a reset that shows in writing the request. The connection is then closed without a failed read, and a
     * response that ends with its connection would look complete.
     */
    private void recordWritten(Future<? super Void> result) {
        isReset |= !result.isSuccess() && !(result.cause() instanceof ClosedChannelException);
    }

    void setReading(boolean isReading) {
        context.channel().config().setAutoRead(isReading);
    }

    /**
     * Discards the bytes that were not delivered yet: they must not arrive after the sender has cancelled the request.
     */
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
                // The bytes don't belong to any request.
                if (isOpen()) {
                    log("unexpected_bytes", "none", "no request is on the connection", decoder.beginning());
                }
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
                fail(
                        ExchangeFailure.MALFORMED_ANSWER,
                        "malformed response head: "
                                + head.decoderResult().cause().getMessage());
                return;
            }
            readHead(head);
        }
        if (message instanceof HttpContent content && exchange != null && !exchange.isEnded()) {
            if (content.decoderResult().isFailure()) {
                fail(ExchangeFailure.BROKEN_ANSWER, "malformed response body");
                return;
            }
            readContent(content);
        }
    }

    private void readHead(HttpResponse head) {
        if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            fail(ExchangeFailure.MALFORMED_ANSWER, "switch to a protocol that was not requested");
            return;
        }
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            state = ResponseState.INTERIM;
            interimResponses++;
            if (interimResponses > MAXIMUM_INTERIM_RESPONSES) {
                fail(ExchangeFailure.MALFORMED_ANSWER, "more than " + MAXIMUM_INTERIM_RESPONSES + " interim responses");
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
        connections.notifyResponse(target, head);
        boolean isAccepted = exchange.listener().onHead(head, use());
        isSuccess = head.status().codeClass() == HttpStatusClass.SUCCESS;
        state = isAccepted ? ResponseState.ACCEPTED : ResponseState.SKIPPED;
        if (!isAccepted) {
            isReusable = false;
            skippedResponses++;
            if (!isFollowedByAnother(head)) {
                fail(ExchangeFailure.MALFORMED_ANSWER, "a response to another request ends the connection");
                return;
            }
            HttpExchange current = exchange;
            current.listener().maximumWaitAfterDiscarding().ifPresent(wait -> failUnlessAnotherBegins(current, wait));
        }
        if (!isAccepted || HttpUtil.isContentLengthSet(head)) {
            decoder.searchBody();
        }
    }

    /** Returns whether another response can come on the connection after the one with this head. */
    private static boolean isFollowedByAnother(HttpResponse head) {
        boolean hasEnd = HttpUtil.isContentLengthSet(head)
                || HttpUtil.isTransferEncodingChunked(head)
                || head.status().equals(HttpResponseStatus.NO_CONTENT)
                || head.status().equals(HttpResponseStatus.NOT_MODIFIED);
        return hasEnd && HttpUtil.isKeepAlive(head);
    }

    private void failUnlessAnotherBegins(HttpExchange current, Duration wait) {
        if (wait.isZero()) {
            fail(ExchangeFailure.NO_ANSWER, UNNAMED_RESPONSE);
            return;
        }
        context.executor()
                .schedule(
                        () -> {
                            if (exchange == current && state != ResponseState.ACCEPTED) {
                                fail(ExchangeFailure.NO_ANSWER, UNNAMED_RESPONSE);
                            }
                        },
                        wait.toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    private void readContent(HttpContent content) {
        ByteBuf bytes = content.content();
        if (state == ResponseState.SKIPPED) {
            skippedBytes += bytes.readableBytes();
        }
        if (state == ResponseState.SKIPPED && decoder.isStatusLineInBody()) {
            fail(ExchangeFailure.MALFORMED_ANSWER, "status line within the body of a response to another request");
            return;
        }
        if (skippedResponses > MAXIMUM_SKIPPED_RESPONSES || skippedBytes > MAXIMUM_SKIPPED_BYTES) {
            fail(
                    ExchangeFailure.MALFORMED_ANSWER,
                    skippedResponses + " responses to other requests with " + skippedBytes + " bytes");
            return;
        }
        if (state == ResponseState.ACCEPTED && bytes.isReadable()) {
            exchange.listener().onBody(bytes);
        }
        if (!(content instanceof LastHttpContent) || exchange.isEnded()) {
            return;
        }
        switch (state) {
            case ACCEPTED -> finish();
            case SKIPPED, INTERIM -> {
                decoder.responseEnded();
                state = ResponseState.NONE;
            }
            case NONE -> fail(ExchangeFailure.MALFORMED_ANSWER, "response body without a head");
        }
    }

    private void finish() {
        if (isReset) {
            fail(ExchangeFailure.BROKEN_ANSWER, "connection reset");
            return;
        }
        int furtherBytes = decoder.unreadBytes();
        if (furtherBytes > 0 && decoder.isStatusLineInBody()) {
            fail(
                    ExchangeFailure.BROKEN_ANSWER,
                    "status line within the body, and " + furtherBytes + " bytes behind it");
            return;
        }
        HttpExchange ended = exchange;
        exchange = null;
        carriedRequests.add(ended.identifier(), isSuccess, connections.now());
        decoder.stopAwaiting();
        isReusable &= carriedRequests.hasRoom();
        if (furtherBytes > 0) {
            isReusable = false;
            log(
                    "unexpected_bytes",
                    ended.identifier(),
                    furtherBytes + " bytes after the response",
                    decoder.unreadBeginning());
        }
        // If the other end responded early, the body of the request may not have been written completely yet.
        boolean canBeReused = isReusable && written.isSuccess() && isOpen();
        if (canBeReused) {
            context.channel().config().setAutoRead(true);
            connections.release(this);
        } else {
            context.close();
        }
        ended.end();
    }

    private ConnectionUse use() {
        return new ConnectionUse(number, exchanges - 1, skippedResponses);
    }

    private void log(String event, String request, String reason, String beginning) {
        LOG.event(
                event,
                "request",
                request,
                "address",
                target.address(),
                "lifetime",
                target.lifetime(),
                "connection",
                number,
                "earlier_exchanges",
                Math.max(0, exchanges - 1),
                "skipped",
                skippedResponses,
                "reason",
                reason,
                "beginning",
                beginning);
    }

    private void fail(ExchangeFailure failure, String reason) {
        HttpExchange failed = exchange;
        exchange = null;
        isReusable = false;
        context.close();
        if (failed != null) {
            if (failure == ExchangeFailure.MALFORMED_ANSWER) {
                log("malformed_response", failed.identifier(), reason, decoder.beginning());
            }
            failed.fail(failure, reason);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failedContext, Throwable cause) {
        isReset = true;
        fail(currentFailure(), String.valueOf(cause.getMessage()));
    }

    @Override
    public void channelInactive(ChannelHandlerContext closedContext) {
        connections.remove(this);
        if (exchange != null) {
            fail(currentFailure(), "connection closed");
        }
    }

    private ExchangeFailure currentFailure() {
        return state == ResponseState.ACCEPTED ? ExchangeFailure.BROKEN_ANSWER : ExchangeFailure.NO_ANSWER;
    }
}
