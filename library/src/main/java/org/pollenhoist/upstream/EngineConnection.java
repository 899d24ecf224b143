package org.pollenhoist.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * One TCP connection to one engine, which carries one request at a time. It is never replaced under a caller: once
 * closed, it stays closed, so that what is sent over it reaches the process that accepted it or none.
 *
 * <p>Answers don't name their request. The connection is closed, and the request fails, once anything arrives that is
 * not exactly one answer to the current request. A whole copy of an earlier answer that arrives alone, after the next
 * request was sent and before its answer, can't be told from that answer.
 */
final class EngineConnection {

    private static final int LARGEST_ANSWER_BYTES = 4 * 1024 * 1024;
    private static final int MAXIMUM_LINE_BYTES = 4_096;
    private static final int MAXIMUM_HEADER_BYTES = 8_192;
    private static final int MAXIMUM_CHUNK_BYTES = 65_536;

    private final Channel channel;
    private final String host;
    private final Answers answers;

    private EngineConnection(Channel channel, String host, Answers answers) {
        this.channel = channel;
        this.host = host;
        this.answers = answers;
    }

    /**
     * The engine's answer.
     *
     * @param status HTTP status
     * @param content body
     * @param isKeptAlive whether the connection may carry another request
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Answer(int status, byte[] content, boolean isKeptAlive) {}

    static CompletableFuture<EngineConnection> open(
            EventLoopGroup group, String address, int port, Duration connectTimeout) {
        ResponseDecoder decoder =
                new ResponseDecoder(MAXIMUM_LINE_BYTES, MAXIMUM_HEADER_BYTES, MAXIMUM_CHUNK_BYTES, Set.of());
        Answers answers = new Answers(decoder);
        Bootstrap bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis())
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpRequestEncoder());
                        channel.pipeline().addLast(decoder);
                        channel.pipeline().addLast(answers);
                    }
                });
        CompletableFuture<EngineConnection> opened = new CompletableFuture<>();
        ChannelFuture connecting = bootstrap.connect(address, port);
        connecting.addListener(result -> {
            if (result.isSuccess()) {
                opened.complete(new EngineConnection(connecting.channel(), address + ":" + port, answers));
            } else {
                opened.completeExceptionally(result.cause());
            }
        });
        return opened;
    }

    boolean isOpen() {
        return channel.isActive();
    }

    void close() {
        channel.close();
    }

    CompletableFuture<Answer> request(HttpMethod method, String path, byte[] content) {
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, Unpooled.wrappedBuffer(content));
        request.headers().set(HttpHeaderNames.HOST, host);
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        HttpUtil.setContentLength(request, content.length);
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        channel.eventLoop().execute(() -> {
            if (answers.awaited != null || !channel.isActive()) {
                answer.completeExceptionally(new IOException("connection is closed or in use"));
                return;
            }
            answers.await(method, answer);
            channel.writeAndFlush(request);
        });
        return answer;
    }

    /** Used by the channel's event loop alone. */
    private static final class Answers extends SimpleChannelInboundHandler<Object> {

        private final ResponseDecoder decoder;
        private CompletableFuture<Answer> awaited;
        private HttpResponse head;
        private ByteArrayOutputStream body;

        private Answers(ResponseDecoder decoder) {
            this.decoder = decoder;
        }

        private void await(HttpMethod method, CompletableFuture<Answer> answer) {
            awaited = answer;
            decoder.awaitResponseTo(method);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Object message) throws IOException {
            if (awaited == null || !(message instanceof HttpObject part)) {
                end(context, "bytes that don't belong to an answer");
                return;
            }
            if (part.decoderResult().isFailure()) {
                end(context, "answer is malformed or cut");
                return;
            }
            if (part instanceof HttpResponse begun) {
                head = begun;
                body = new ByteArrayOutputStream();
                decoder.searchBody();
            }
            if (part instanceof HttpContent content) {
                readContent(context, content);
            }
        }

        private void readContent(ChannelHandlerContext context, HttpContent content) throws IOException {
            int length = content.content().readableBytes();
            if (body.size() + length > LARGEST_ANSWER_BYTES) {
                end(context, "answer has more than " + LARGEST_ANSWER_BYTES + " bytes");
                return;
            }
            content.content().readBytes(body, length);
            if (decoder.isStatusLineInBody()) {
                end(context, "another answer begins within the answer");
                return;
            }
            if (content instanceof LastHttpContent) {
                complete(context);
            }
        }

        private void complete(ChannelHandlerContext context) {
            if (decoder.unreadBytes() > 0) {
                // One of the two is a copy of an earlier answer, and nothing tells which.
                end(context, "another answer begins behind the answer");
                return;
            }
            CompletableFuture<Answer> answered = awaited;
            awaited = null;
            decoder.stopAwaiting();
            answered.complete(new Answer(head.status().code(), body.toByteArray(), HttpUtil.isKeepAlive(head)));
        }

        private void end(ChannelHandlerContext context, String reason) {
            context.close();
            fail(new IOException(reason));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail(new IOException("connection was closed"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail(cause);
            context.close();
        }

        private void fail(Throwable cause) {
            CompletableFuture<Answer> failed = awaited;
            awaited = null;
            if (failed != null) {
                failed.completeExceptionally(cause);
            }
        }
    }
}
