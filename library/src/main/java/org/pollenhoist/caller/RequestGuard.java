package org.pollenhoist.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.ErrorCode;

/** Answers requests that can't be read, or don't arrive whole in time, before any handler sees them. */
public final class RequestGuard extends ChannelDuplexHandler {

    private static final DecisionLog LOG = DecisionLog.of("caller");

    private final StrictRequestDecoder decoder;

    private boolean isRefused;

    /**
     * Creates a guard.
     *
     * @param decoder the decoder of the same connection
     */
    public RequestGuard(StrictRequestDecoder decoder) {
        this.decoder = decoder;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (isRefused) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof HttpObject part) {
            inspect(context, part);
            return;
        }
        context.fireChannelRead(message);
    }

    private void inspect(ChannelHandlerContext context, HttpObject part) {
        if (part.decoderResult().isFailure()) {
            ReferenceCountUtil.release(part);
            refuse(context, malformed(part.decoderResult()));
            return;
        }
        if (part instanceof HttpRequest request && !isFramingUnambiguous(request)) {
            ReferenceCountUtil.release(part);
            refuse(context, Refusal.notRun(ErrorCode.INVALID_REQUEST, "the request's framing is ambiguous"));
            return;
        }
        if (part instanceof LastHttpContent) {
            decoder.requestCompleted();
        }
        context.fireChannelRead(part);
    }

    private static boolean isFramingUnambiguous(HttpRequest request) {
        List<String> encodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean isChunkedOrPlain = encodings.isEmpty()
                || (encodings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0)));
        boolean hasOneLength =
                request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size() <= 1;
        boolean hasOneHost = request.headers().getAll(HttpHeaderNames.HOST).size() <= 1;
        return isChunkedOrPlain && hasOneLength && hasOneHost;
    }

    private static Refusal malformed(DecoderResult result) {
        Throwable cause = result.cause();
        if (cause instanceof TooLongFrameException) {
            return Refusal.notRun(ErrorCode.REQUEST_TOO_LARGE, "the request's line or header is too large");
        }
        return Refusal.notRun(ErrorCode.INVALID_REQUEST, "the request is malformed: " + cause.getMessage());
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (event instanceof IdleStateEvent && decoder.isRequestBegun() && !isRefused) {
            refuse(context, Refusal.notRun(ErrorCode.REQUEST_TIMEOUT, "the request did not arrive whole in time"));
            return;
        }
        super.userEventTriggered(context, event);
    }

    private void refuse(ChannelHandlerContext context, Refusal refusal) {
        isRefused = true;
        LOG.event("refuse", "code", refusal.code().text(), "reason", refusal.message(), "not_run", true);
        // The usual encoders refuse an answer to a request whose header has not been read, so they are passed over.
        context.pipeline().firstContext().writeAndFlush(encode(refusal)).addListener(ChannelFutureListener.CLOSE);
    }

    private static ByteBuf encode(Refusal refusal) {
        byte[] body = refusal.body();
        String head = HttpVersion.HTTP_1_1 + " " + HttpResponseStatus.valueOf(refusal.status()) + "\r\n"
                + HttpHeaderNames.CONTENT_TYPE + ": " + HttpHeaderValues.APPLICATION_JSON + "\r\n"
                + HttpHeaderNames.CONTENT_LENGTH + ": " + body.length + "\r\n"
                + HttpHeaderNames.CONNECTION + ": " + HttpHeaderValues.CLOSE + "\r\n\r\n";
        return Unpooled.wrappedBuffer(head.getBytes(StandardCharsets.US_ASCII), body);
    }
}
