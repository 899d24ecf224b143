package org.pollenhoist.serving.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.pollenhoist.caller.StrictRequestDecoder;
import org.pollenhoist.common.MonotonicTime;

/** One caller's connection: its requests are answered one after another. Confined to the event loop. */
final class CallerConnection extends ChannelInboundHandlerAdapter {

    /** Requests that a caller may send ahead before the connection is closed. */
    private static final int MAXIMUM_AHEAD = 8;

    private final CallerServer server;
    private final StrictRequestDecoder decoder;
    private final Deque<IncomingRequest> ahead = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private HttpRequest head;
    private CompositeByteBuf body;
    private Answer answer;
    private MonotonicTime lastActivity;
    private boolean isClosing;

    CallerConnection(CallerServer server, StrictRequestDecoder decoder) {
        this.server = server;
        this.decoder = decoder;
        this.lastActivity = server.now();
    }

    @Override
    public void channelActive(ChannelHandlerContext activeContext) {
        context = activeContext;
        server.opened(this);
    }

    boolean isBusy() {
        return answer != null || decoder.isRequestBegun() || !ahead.isEmpty();
    }

    @Override
    public void channelRead(ChannelHandlerContext readContext, Object message) {
        lastActivity = server.now();
        if (isClosing) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof HttpRequest begun) {
            begin(begun);
        }
        if (message instanceof HttpContent content) {
            collect(content);
        } else {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(HttpRequest begun) {
        head = begun;
        body = context.alloc().compositeBuffer(1_024);
        if (HttpUtil.is100ContinueExpected(begun) && answer == null) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void collect(HttpContent content) {
        if (head == null) {
            content.release();
            return;
        }
        if (body.readableBytes() + content.content().readableBytes()
                > server.limits().bodyBytes()) {
            content.release();
            refuseBody();
            return;
        }
        body.addComponent(true, content.content());
        if (content instanceof LastHttpContent) {
            IncomingRequest request = new IncomingRequest(head, body);
            head = null;
            body = null;
            accept(request);
        }
    }

    private void refuseBody() {
        body.release();
        head = null;
        body = null;
        isClosing = true;
        DefaultFullHttpResponse refusal = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, Unpooled.EMPTY_BUFFER);
        refusal.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        refusal.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context.writeAndFlush(refusal).addListener(ChannelFutureListener.CLOSE);
    }

    private void accept(IncomingRequest request) {
        if (answer == null) {
            run(request);
        } else if (ahead.size() < MAXIMUM_AHEAD) {
            ahead.addLast(request);
        } else {
            request.body().release();
            context.close();
        }
    }

    private void run(IncomingRequest request) {
        Answer started = new Answer(request.head());
        answer = started;
        Runnable onGone = server.listener().onRequest(request, started);
        if (answer == started) {
            started.onGone = onGone;
        }
    }

    private void answered(boolean isKept) {
        answer = null;
        lastActivity = server.now();
        if (!isKept) {
            isClosing = true;
            dropAhead();
            return;
        }
        IncomingRequest next = ahead.pollFirst();
        if (next != null) {
            run(next);
        }
    }

    private void dropAhead() {
        ahead.forEach(request -> request.body().release());
        ahead.clear();
    }

    void closeIfIdle() {
        if (!isBusy() && !isClosing) {
            isClosing = true;
            context.close();
        }
    }

    void closeIfTimedOut(MonotonicTime now) {
        if (answer != null || isClosing) {
            return;
        }
        boolean isTooLong = now.since(lastActivity).compareTo(server.limits().idleTimeout()) > 0;
        boolean isHeaderLate = decoder.isRequestBegun()
                && head == null
                && now.since(lastActivity).compareTo(server.limits().headerTimeout()) > 0;
        if (isHeaderLate || (isTooLong && decoder.isRequestBegun())) {
            context.pipeline().fireUserEventTriggered(IdleStateEvent.READER_IDLE_STATE_EVENT);
        } else if (isTooLong) {
            context.close();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changedContext) {
        if (answer != null && answer.onWritabilityChanged != null) {
            answer.onWritabilityChanged.accept(changedContext.channel().isWritable());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext closedContext) {
        isClosing = true;
        server.closed(this);
        dropAhead();
        if (body != null) {
            body.release();
            body = null;
            head = null;
        }
        Answer abandoned = answer;
        answer = null;
        if (abandoned != null && abandoned.onGone != null) {
            abandoned.onGone.run();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failedContext, Throwable cause) {
        failedContext.close();
    }

    /** The answer to one request. Whatever is sent after its end, or after the caller has gone, is dropped. */
    private final class Answer implements CallerResponse {

        private final boolean isHead;
        private final boolean isKept;
        private Runnable onGone;
        private Consumer<Boolean> onWritabilityChanged;
        private boolean isKeeping;

        private Answer(HttpRequest request) {
            isHead = request.method().equals(HttpMethod.HEAD);
            isKept = HttpUtil.isKeepAlive(request);
        }

        private boolean isOver() {
            return answer != this || !context.channel().isActive();
        }

        private boolean mayKeep() {
            return isKept && !server.isStopping();
        }

        @Override
        public void sendFull(int status, HttpHeaders headers, ByteBuf content) {
            if (isOver()) {
                content.release();
                return;
            }
            isKeeping = mayKeep();
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status),
                    isHead ? Unpooled.EMPTY_BUFFER : content,
                    headers,
                    new DefaultHttpHeaders());
            if (isHead) {
                content.release();
            }
            if (!isHead || !headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
            }
            setConnection(headers);
            closeUnlessKept(context.writeAndFlush(response));
        }

        @Override
        public void begin(int status, HttpHeaders headers) {
            if (isOver()) {
                return;
            }
            isKeeping = mayKeep();
            HttpResponse response =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            setConnection(headers);
            context.write(response);
        }

        @Override
        public void sendChunk(ByteBuf part) {
            if (isOver()) {
                part.release();
                return;
            }
            context.writeAndFlush(new DefaultHttpContent(part));
        }

        @Override
        public void end() {
            if (!isOver()) {
                closeUnlessKept(context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
            }
        }

        @Override
        public void abort() {
            if (!isOver()) {
                answer = null;
                isClosing = true;
                context.close();
            }
        }

        @Override
        public void onWritabilityChanged(Consumer<Boolean> listener) {
            onWritabilityChanged = listener;
        }

        private void setConnection(HttpHeaders headers) {
            if (!isKeeping) {
                headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
        }

        private void closeUnlessKept(ChannelFuture sent) {
            if (!isKeeping) {
                sent.addListener(ChannelFutureListener.CLOSE);
            }
            answered(isKeeping);
        }
    }
}
