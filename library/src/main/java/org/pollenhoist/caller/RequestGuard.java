package org.pollenhoist.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.ErrorCode;

/**
 * Answers requests that can't be read, are too large, or don't arrive whole in time, in place of their handler. Callers
 * attribute responses by their order, so a refusal follows the responses to all requests that were read before.
 */
public final class RequestGuard extends ChannelDuplexHandler {

    /**
     * Tells the guard of a connection that the body of the request that is being read is too large.
     *
     * @param maximumBytes the size of the largest body that is allowed
     */
    public record OversizedBody(int maximumBytes) {}

    /** Tells the guard of a connection that its heads are given up, since those of all connections need too much. */
    public record HeaderMemoryFull() {}

    private static final DecisionLog LOG = DecisionLog.of("caller");

    /** The end of a method, a path and a version at the end of a value. */
    private static final Pattern LAST_LINE = Pattern.compile("[A-Z] /\\S* HTTP/1\\.[01]$");

    private final StrictRequestDecoder decoder;
    private final Set<String> singleFields;

    private Optional<Refusal> refusal = Optional.empty();
    private long requestsRead;
    private long responsesWritten;
    private boolean isLastResponse;

    /**
     * Creates a guard.
     *
     * @param decoder the decoder of the same connection
     * @param singleFields names of the fields that a request has at most once, beside those of HTTP
     */
    public RequestGuard(StrictRequestDecoder decoder, Set<String> singleFields) {
        this.decoder = decoder;
        this.singleFields = singleFields;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (refusal.isPresent()) {
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
        Optional<String> defect = part instanceof HttpRequest request ? defect(request.headers()) : Optional.empty();
        if (defect.isPresent()) {
            ReferenceCountUtil.release(part);
            refuse(context, Refusal.notRun(ErrorCode.INVALID_REQUEST, "the request is malformed: " + defect.get()));
            return;
        }
        boolean isLastPart = part instanceof LastHttpContent;
        if (isLastPart) {
            decoder.requestCompleted();
        }
        context.fireChannelRead(part);
        if (isLastPart && refusal.isEmpty()) {
            requestsRead++;
        }
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

    /**
     * Returns why a head can't be that of one request. Two requests run together where the first breaks off within its
     * head: the line of the second ends a value of the first, and neither of two values proves whose request it is.
     */
    private Optional<String> defect(HttpHeaders headers) {
        for (Map.Entry<String, String> field : headers) {
            if (endsWithRequestLine(field.getValue())) {
                return Optional.of("field " + field.getKey() + " ends with a request line");
            }
        }
        return singleFields.stream()
                .filter(name -> headers.getAll(name).size() > 1)
                .sorted()
                .findFirst()
                .map(name -> "field " + name + " stands in it twice");
    }

    private static boolean endsWithRequestLine(String value) {
        boolean endsWithVersion = value.endsWith(" HTTP/1.1") || value.endsWith(" HTTP/1.0");
        return endsWithVersion && LAST_LINE.matcher(value).find();
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
        if (event instanceof IdleStateEvent && decoder.isRequestBegun() && refusal.isEmpty()) {
            refuse(context, Refusal.notRun(ErrorCode.REQUEST_TIMEOUT, "the request did not arrive whole in time"));
            return;
        }
        if (event instanceof OversizedBody oversized) {
            String message = "the body holds more than " + oversized.maximumBytes() + " bytes";
            refuse(context, Refusal.notRun(ErrorCode.REQUEST_TOO_LARGE, message));
            return;
        }
        if (event instanceof HeaderMemoryFull) {
            refuse(context, Refusal.notRun(ErrorCode.OVERLOADED, "the headers of all requests need too much memory"));
            return;
        }
        super.userEventTriggered(context, event);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        boolean isInterim = false;
        if (message instanceof HttpResponse head) {
            isInterim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            isLastResponse |= !isInterim && !HttpUtil.isKeepAlive(head);
        }
        context.write(message, promise);
        if (message instanceof LastHttpContent && !isInterim) {
            responsesWritten++;
            sendDueRefusal(context);
        }
    }

    private void refuse(ChannelHandlerContext context, Refusal newRefusal) {
        if (refusal.isPresent()) {
            return;
        }
        refusal = Optional.of(newRefusal);
        LOG.event("refuse", "code", newRefusal.code().text(), "reason", newRefusal.message(), "not_run", true);
        sendDueRefusal(context);
    }

    private void sendDueRefusal(ChannelHandlerContext context) {
        if (refusal.isEmpty() || responsesWritten < requestsRead || isLastResponse) {
            return;
        }
        // The usual encoders refuse an answer to a request whose header has not been read, so they are passed over.
        context.pipeline().firstContext().writeAndFlush(encode(refusal.get())).addListener(ChannelFutureListener.CLOSE);
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
