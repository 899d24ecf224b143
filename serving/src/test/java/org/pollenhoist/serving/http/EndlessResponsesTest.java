package org.pollenhoist.serving.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;

/** Tests that the client closes connections on which a server sends bytes without end. */
class EndlessResponsesTest {

    /** Number of bytes after which a server stops; a client that reads all of them is unbounded. */
    private static final long CAP_BYTES = 256L << 20;

    /** Number of bytes that a client may receive: its own limits and the contents of two socket buffers. */
    private static final long ALLOWED_BYTES = 32L << 20;

    private static final String COMPLETE = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok";

    private final EpollEventLoopGroup group = new EpollEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final HttpConnectionPool connections =
            new HttpConnectionPool(loop, MonotonicTime::read, Set.of(), (target, head) -> {});
    private final AtomicLong sent = new AtomicLong();
    private final CompletableFuture<Void> closed = new CompletableFuture<>();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private ServerSocket serve(String beginning, String repeated) throws IOException {
        ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(() -> respond(server, beginning, repeated), "server");
        thread.setDaemon(true);
        thread.start();
        return server;
    }

    private void respond(ServerSocket server, String beginning, String repeated) {
        byte[] chunk =
                repeated.repeat(1 + 16_384 / Math.max(1, repeated.length())).getBytes(StandardCharsets.US_ASCII);
        try (Socket socket = server.accept()) {
            assertThat(socket.getInputStream().read()).isNotNegative();
            OutputStream output = socket.getOutputStream();
            output.write(beginning.getBytes(StandardCharsets.US_ASCII));
            while (!repeated.isEmpty() && sent.get() < CAP_BYTES) {
                output.write(chunk);
                sent.addAndGet(chunk.length);
            }
        } catch (IOException clientClosed) {
            closed.complete(null);
        }
    }

    private CompletableFuture<String> send(ServerSocket server) {
        CompletableFuture<String> result = new CompletableFuture<>();
        Target target = new Target(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), "1");
        loop.execute(() -> connections.send(
                target,
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER),
                ConnectionOptions.ANY_IDLE,
                new Collector(result)));
        return result.orTimeout(60, TimeUnit.SECONDS);
    }

    private void assertAborted(String beginning, String repeated, ExchangeFailure failure) throws IOException {
        try (ServerSocket endless = serve(beginning, repeated);
                ServerSocket other = serve(COMPLETE, "")) {
            CompletableFuture<String> result = send(endless);

            assertThat(send(other).join()).isEqualTo("ok");
            assertThat(result.join()).isEqualTo(failure.name());
            closed.orTimeout(60, TimeUnit.SECONDS).join();
            assertThat(sent).hasValueLessThan(ALLOWED_BYTES);
        }
    }

    private static final class Collector implements ResponseListener {

        private final CompletableFuture<String> result;
        private final StringBuilder body = new StringBuilder();

        private Collector(CompletableFuture<String> result) {
            this.result = result;
        }

        @Override
        public boolean onHead(HttpResponse head, ConnectionUse use) {
            return "a".equals(head.headers().get("X-Id"));
        }

        @Override
        public void onBody(ByteBuf chunk) {
            body.append(chunk.toString(StandardCharsets.US_ASCII));
        }

        @Override
        public void onEnd() {
            result.complete(body.toString());
        }

        @Override
        public void onFailure(ExchangeFailure failure, String reason) {
            result.complete(failure.name());
        }
    }

    @Nested
    class Heads {

        @Test
        void should_be_rejected_when_interim_heads_follow_each_other_without_end() throws IOException {
            assertAborted("", "HTTP/1.1 102 Processing\r\n\r\n", ExchangeFailure.MALFORMED_ANSWER);
        }

        @Test
        void should_be_rejected_when_blank_lines_come_without_end() throws IOException {
            assertAborted("", "\r\n", ExchangeFailure.MALFORMED_ANSWER);
        }

        @Test
        void should_be_rejected_when_a_status_line_has_no_end() throws IOException {
            assertAborted("HTTP/1.1 200 ", "very good ", ExchangeFailure.MALFORMED_ANSWER);
        }

        @Test
        void should_be_rejected_when_header_fields_have_no_end() throws IOException {
            assertAborted("HTTP/1.1 200 OK\r\n", "X-More: and more\r\n", ExchangeFailure.MALFORMED_ANSWER);
        }
    }

    @Nested
    class Bodies {

        private static final String FOREIGN = "HTTP/1.1 200 OK\r\nX-Id: other\r\n";

        @Test
        void should_be_rejected_when_the_body_of_a_response_to_another_request_has_no_end() throws IOException {
            assertAborted(FOREIGN + "\r\n", "more and more ", ExchangeFailure.MALFORMED_ANSWER);
        }

        @Test
        void should_be_rejected_when_responses_to_other_requests_follow_each_other_without_end() throws IOException {
            assertAborted("", FOREIGN + "Content-Length: 2\r\n\r\nno", ExchangeFailure.MALFORMED_ANSWER);
        }
    }

    @Nested
    class Calls {

        @Test
        void should_fail_without_a_partial_body_when_the_response_has_no_end() throws IOException {
            BufferedHttpClient client = new BufferedHttpClient(loop, connections);
            CompletableFuture<BufferedHttpClient.Result> result = new CompletableFuture<>();
            try (ServerSocket server = serve("HTTP/1.1 200 OK\r\n\r\n", "more and more ")) {
                Target target = new Target(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), "1");
                loop.execute(() -> client.call(
                        target,
                        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER),
                        Duration.ofSeconds(50),
                        result::complete));

                assertThat(result.orTimeout(60, TimeUnit.SECONDS).join())
                        .isEqualTo(new BufferedHttpClient.Result.Failed(true, "response larger than 8388608 bytes"));
                assertThat(sent).hasValueLessThan(ALLOWED_BYTES);
            }
        }
    }

    @Nested
    class IdleConnections {

        @Test
        void should_be_closed_when_blank_lines_come_without_end() throws IOException {
            try (ServerSocket server = serve(COMPLETE, "\r\n")) {
                assertThat(send(server).join()).isEqualTo("ok");
                closed.orTimeout(60, TimeUnit.SECONDS).join();
                assertThat(sent).hasValueLessThan(ALLOWED_BYTES);
            }
        }
    }
}
