package org.pollenhoist.serving.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
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
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.pollenhoist.caller.RequestGuard;
import org.pollenhoist.caller.StrictRequestDecoder;
import org.pollenhoist.common.MonotonicTime;

/** A caller's connection, whose requests are served one after another. Confined to the event loop. */
final class CallerConnection extends ChannelInboundHandlerAdapter implements HeaderMemoryBudget.Holder {

    /**
     * A request that was read whole.
     *
     * @param request the request
     * @param headBytes the memory of its head, in bytes
     */
    private record ReadRequest(IncomingRequest request, long headBytes) {}

    /** Maximum number of requests that wait while another one is served; the connection is closed beyond it. */
    private static final int MAXIMUM_PIPELINED_REQUESTS = 8;

    /**
     * Time without progress after which a response is given up. The kernel tells that a caller has read only when a
     * large part of the socket's buffer is free, which takes a slow caller many seconds.
     */
    private static final Duration STALL_TIMEOUT = Duration.ofSeconds(60);

    private final CallerServer server;
    private final StrictRequestDecoder decoder;
    private final Deque<ReadRequest> pipelinedRequests = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private HttpRequest head;
    private CompositeByteBuf body;
    private PendingResponse currentResponse;
    private MonotonicTime lastActivity;
    private MonotonicTime lastProgress;
    private long lastUnsentBytes;
    private boolean isClosing;
    private boolean hasReleasedHeads;

    CallerConnection(CallerServer server, StrictRequestDecoder decoder) {
        this.server = server;
        this.decoder = decoder;
        this.lastActivity = server.now();
        this.lastProgress = lastActivity;
        decoder.afterRead(this::recordHeads);
    }

    private void recordHeads() {
        if (!hasReleasedHeads) {
            long waitingBytes =
                    pipelinedRequests.stream().mapToLong(ReadRequest::headBytes).sum();
            long runningBytes = currentResponse == null ? 0 : currentResponse.headBytes;
            server.headerMemory().hold(this, decoder.headMemoryBytes() + waitingBytes + runningBytes);
        }
    }

    @Override
    public String address() {
        return String.valueOf(context.channel().remoteAddress());
    }

    @Override
    public void giveUp() {
        hasReleasedHeads = true;
        isClosing = true;
        if (currentResponse == null && pipelinedRequests.isEmpty() && unsentBytes() == 0) {
            context.pipeline().fireUserEventTriggered(new RequestGuard.HeaderMemoryFull());
        }
        // The event loop tells of the end only after it has read from all others, which need the memory.
        decoder.dropHead(context);
        abandonRequests();
        context.close();
    }

    @Override
    public void channelActive(ChannelHandlerContext activeContext) {
        context = activeContext;
        server.opened(this);
    }

    boolean isBusy() {
        return currentResponse != null || decoder.isRequestBegun() || !pipelinedRequests.isEmpty() || unsentBytes() > 0;
    }

    /** Returns the number of bytes of responses that have not been written to the socket yet. */
    long unsentBytes() {
        ChannelOutboundBuffer unsent = context.channel().unsafe().outboundBuffer();
        return unsent == null ? 0 : unsent.totalPendingWriteBytes() - unsent.currentProgress();
    }

    @Override
    public void channelRead(ChannelHandlerContext readContext, Object message) {
        lastActivity = server.now();
        if (isClosing) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof HttpRequest requestHead) {
            begin(requestHead);
        }
        if (message instanceof HttpContent content) {
            appendBody(content);
        } else {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(HttpRequest requestHead) {
        head = requestHead;
        body = context.alloc().compositeBuffer(1_024);
        if (HttpUtil.is100ContinueExpected(requestHead) && currentResponse == null && pipelinedRequests.isEmpty()) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void appendBody(HttpContent content) {
        if (head == null) {
            content.release();
            return;
        }
        if (body.readableBytes() + content.content().readableBytes()
                > server.limits().bodyBytes()) {
            content.release();
            rejectOversizedBody();
            return;
        }
        body.addComponent(true, content.content());
        if (content instanceof LastHttpContent) {
            IncomingRequest request = new IncomingRequest(head, body, sender());
            head = null;
            body = null;
            accept(request);
        }
    }

    private InetAddress sender() {
        return ((InetSocketAddress) context.channel().remoteAddress()).getAddress();
    }

    private void rejectOversizedBody() {
        body.release();
        head = null;
        body = null;
        context.pipeline()
                .fireUserEventTriggered(
                        new RequestGuard.OversizedBody(server.limits().bodyBytes()));
    }

    private void accept(IncomingRequest request) {
        int maximumWaiting = currentResponse == null ? MAXIMUM_PIPELINED_REQUESTS + 1 : MAXIMUM_PIPELINED_REQUESTS;
        if (pipelinedRequests.size() >= maximumWaiting) {
            request.body().release();
            context.close();
            return;
        }
        pipelinedRequests.addLast(new ReadRequest(request, decoder.takeHeadMemoryBytes()));
        if (currentResponse == null) {
            // After an event loop that was late has read a request, it reads whether the caller has left meanwhile.
            server.intake().add(this::handleNext);
        }
    }

    private void handleNext() {
        boolean isServing = currentResponse != null || !context.channel().isWritable();
        if (isServing || isClosing || !context.channel().isActive()) {
            return;
        }
        ReadRequest next = pipelinedRequests.pollFirst();
        if (next != null) {
            handle(next);
        }
    }

    private void handle(ReadRequest read) {
        IncomingRequest request = read.request();
        PendingResponse started = new PendingResponse(request.head(), read.headBytes());
        currentResponse = started;
        Runnable onDisconnect = server.listener().onRequest(request, started);
        if (currentResponse == started) {
            started.onDisconnect = onDisconnect;
        }
    }

    private void finishResponse(boolean keepsConnection) {
        currentResponse = null;
        lastActivity = server.now();
        if (!keepsConnection) {
            isClosing = true;
            releasePipelinedRequests();
            recordHeads();
            return;
        }
        recordHeads();
        handleNext();
    }

    private void releasePipelinedRequests() {
        pipelinedRequests.forEach(read -> read.request().body().release());
        pipelinedRequests.clear();
    }

    void closeIfIdle() {
        if (!isBusy() && !isClosing) {
            isClosing = true;
            context.close();
        }
    }

    void closeIfTimedOut(MonotonicTime now) {
        closeIfStalled(now);
        if (unsentBytes() > 0) {
            lastActivity = now;
        } else if (currentResponse == null && !isClosing) {
            closeIfRequestIsLate(now);
        }
    }

    void closeIfStalled(MonotonicTime now) {
        if (unsentBytes() == 0 || unsentBytes() != lastUnsentBytes) {
            lastUnsentBytes = unsentBytes();
            lastProgress = now;
        } else if (now.since(lastProgress).compareTo(STALL_TIMEOUT) > 0) {
            context.close();
        }
    }

    private void closeIfRequestIsLate(MonotonicTime now) {
        boolean isIdleTooLong =
                now.since(lastActivity).compareTo(server.limits().idleTimeout()) > 0;
        boolean isHeaderLate = decoder.isRequestBegun()
                && head == null
                && now.since(lastActivity).compareTo(server.limits().headerTimeout()) > 0;
        if (isHeaderLate || (isIdleTooLong && decoder.isRequestBegun())) {
            context.pipeline().fireUserEventTriggered(IdleStateEvent.READER_IDLE_STATE_EVENT);
        } else if (isIdleTooLong) {
            context.close();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changedContext) {
        if (currentResponse != null && currentResponse.onWritabilityChanged != null) {
            currentResponse.onWritabilityChanged.accept(changedContext.channel().isWritable());
        }
        handleNext();
    }

    @Override
    public void channelInactive(ChannelHandlerContext closedContext) {
        isClosing = true;
        hasReleasedHeads = true;
        server.headerMemory().release(this);
        server.closed(this);
        abandonRequests();
    }

    private void abandonRequests() {
        releasePipelinedRequests();
        if (body != null) {
            body.release();
            body = null;
            head = null;
        }
        PendingResponse abandoned = currentResponse;
        currentResponse = null;
        if (abandoned != null && abandoned.onDisconnect != null) {
            abandoned.onDisconnect.run();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failedContext, Throwable cause) {
        failedContext.close();
    }

    /**
     * The response to one request. Whatever is sent after its end, or after the connection was closed, is discarded.
     */
    private final class PendingResponse implements CallerResponse {

        private final boolean isHeadRequest;
        private final boolean isKeepAliveRequested;
        private final long headBytes;
        private Runnable onDisconnect;
        private Consumer<Boolean> onWritabilityChanged;
        private boolean keepsConnection;

        private PendingResponse(HttpRequest request, long headBytes) {
            this.headBytes = headBytes;
            isHeadRequest = request.method().equals(HttpMethod.HEAD);
            isKeepAliveRequested = HttpUtil.isKeepAlive(request);
        }

        private boolean isFinished() {
            return currentResponse != this || !context.channel().isActive();
        }

        private boolean mayKeepConnection() {
            return isKeepAliveRequested && !server.isStopping();
        }

        @Override
        public void sendFull(int status, HttpHeaders headers, ByteBuf content) {
            if (isFinished()) {
                content.release();
                return;
            }
            keepsConnection = mayKeepConnection();
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status),
                    isHeadRequest ? Unpooled.EMPTY_BUFFER : content,
                    headers,
                    new DefaultHttpHeaders());
            if (isHeadRequest) {
                content.release();
            }
            if (!isHeadRequest || !headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
            }
            setConnection(headers);
            finishAfter(context.writeAndFlush(response));
        }

        @Override
        public void begin(int status, HttpHeaders headers) {
            if (isFinished()) {
                return;
            }
            keepsConnection = mayKeepConnection();
            HttpResponse response =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            setConnection(headers);
            context.write(response);
        }

        @Override
        public void sendChunk(ByteBuf chunk) {
            if (isFinished()) {
                chunk.release();
                return;
            }
            context.writeAndFlush(new DefaultHttpContent(chunk));
        }

        @Override
        public void endThen(Runnable whenSent) {
            if (isFinished()) {
                whenSent.run();
                return;
            }
            ChannelFuture sent = context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            sent.addListener(completed -> whenSent.run());
            finishAfter(sent);
        }

        @Override
        public void abort() {
            if (!isFinished()) {
                currentResponse = null;
                isClosing = true;
                context.close();
            }
        }

        @Override
        public void onWritabilityChanged(Consumer<Boolean> listener) {
            onWritabilityChanged = listener;
        }

        private void setConnection(HttpHeaders headers) {
            if (!keepsConnection) {
                headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
        }

        private void finishAfter(ChannelFuture sent) {
            if (!keepsConnection) {
                sent.addListener(ChannelFutureListener.CLOSE);
            }
            finishResponse(keepsConnection);
        }
    }
}
