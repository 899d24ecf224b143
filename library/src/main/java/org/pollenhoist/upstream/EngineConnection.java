package org.pollenhoist.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
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
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * One TCP connection to one engine, which carries one request at a time. It is never replaced under a caller: once
 * closed, it stays closed, so that what is sent over it reaches the process that accepted it or none.
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
                        channel.pipeline().addLast(new HttpObjectAggregator(LARGEST_ANSWER_BYTES));
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
    private static final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {

        private final ResponseDecoder decoder;
        private CompletableFuture<Answer> awaited;

        private Answers(ResponseDecoder decoder) {
            this.decoder = decoder;
        }

        private void await(HttpMethod method, CompletableFuture<Answer> answer) {
            awaited = answer;
            decoder.awaitResponseTo(method);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            CompletableFuture<Answer> answered = awaited;
            awaited = null;
            if (answered == null) {
                context.close();
                return;
            }
            if (response.decoderResult().isFailure()) {
                // The aggregator completes a head that was cut, as if it had no body.
                context.close();
                answered.completeExceptionally(new IOException("answer is malformed or cut"));
                return;
            }
            byte[] content = ByteBufUtil.getBytes(response.content());
            answered.complete(new Answer(response.status().code(), content, HttpUtil.isKeepAlive(response)));
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
