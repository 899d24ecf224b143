package org.pollenhoist.serving.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;

/** Tests how connections are reused, and how responses that violate the protocol are handled. */
class HttpConnectionPoolTest {

    private static final String COMPLETE = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok";
    private static final String LONG_KEEP_ALIVE =
            "HTTP/1.1 200 OK\r\nX-Id: %s\r\nKeep-Alive: timeout=60\r\nContent-Length: 2\r\n\r\nok";

    /** Time in which the client reads what was written before a reset. */
    private static final Duration RESET_DELAY = Duration.ofMillis(100);

    /** Longer than what the buffers of a connection hold, in bytes. */
    private static final int LONG_BODY_BYTES = 32 << 20;

    private final EpollEventLoopGroup group = new EpollEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final HttpConnectionPool connections =
            new HttpConnectionPool(loop, MonotonicTime::read, Set.of(), (target, head) -> {});
    private final List<String> responses = new CopyOnWriteArrayList<>();
    private final AtomicInteger accepted = new AtomicInteger();
    private ServerSocket server;
    private volatile boolean isReset;

    /** Whether the server ends its side of the connection, and resets the connection once the client has the result. */
    private volatile boolean isEndedFirst;

    private final CountDownLatch received = new CountDownLatch(1);

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::serve, "server");
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** Responds to each request with the next scripted response; an empty one closes the connection. */
    private void serve() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                accepted.incrementAndGet();
                Thread thread = new Thread(() -> respond(socket), "connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void respond(Socket socket) {
        try (socket) {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            while (reader.readLine() != null) {
                String line = reader.readLine();
                while (line != null && !line.isEmpty()) {
                    line = reader.readLine();
                }
                String scripted = responses.remove(0);
                socket.getOutputStream().write(scripted.getBytes(StandardCharsets.US_ASCII));
                socket.getOutputStream().flush();
                if (scripted.isEmpty() || !scripted.contains("Content-Length")) {
                    if (isEndedFirst) {
                        socket.shutdownOutput();
                    }
                    if (isEndedFirst) {
                        received.await();
                    }
                    if (isReset) {
                        Thread.sleep(RESET_DELAY);
                        socket.setSoLinger(true, 0);
                    }
                    return;
                }
            }
        } catch (IOException gone) {
            // Some tests make the client close the connection.
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a request and returns the body, or the failure. */
    private String send(String identifier) {
        return send(identifier, server.getLocalPort());
    }

    private String send(String identifier, int port) {
        return send(identifier, port, Unpooled.EMPTY_BUFFER);
    }

    private String send(String identifier, int port, ByteBuf body) {
        return send(identifier, port, new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/", body));
    }

    private String sendHead(String identifier) {
        return send(
                identifier,
                server.getLocalPort(),
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.HEAD, "/", Unpooled.EMPTY_BUFFER));
    }

    private String send(String identifier, int port, FullHttpRequest request) {
        CompletableFuture<String> result = new CompletableFuture<>();
        Target target = new Target(new InetSocketAddress(server.getInetAddress(), port), "1");
        loop.execute(() -> connections.send(
                target, identifier, request, ConnectionOptions.ANY_IDLE, new Collector(identifier, result)));
        try {
            return result.orTimeout(10, TimeUnit.SECONDS).join();
        } finally {
            received.countDown();
        }
    }

    /** Requests whose callers have left while connections were being opened for them. */
    @Nested
    class LateRequests {

        private Target target() {
            return new Target(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), "1");
        }

        private boolean hasIdleConnection() {
            return loop.submit(() -> connections.hasReusable(target(), "b", Duration.ofHours(1)))
                    .syncUninterruptibly()
                    .getNow();
        }

        /** Guards against a request that an event loop that is late sends before it reads that the caller has left. */
        @Test
        void should_not_be_sent_once_the_connection_is_open() {
            responses.add(LONG_KEEP_ALIVE.formatted("b"));
            CompletableFuture<String> late = new CompletableFuture<>();
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
            ConnectionOptions options = ConnectionOptions.ANY_IDLE.startingBefore(MonotonicTime.read());
            loop.execute(() -> connections.send(target(), "a", request, options, new Collector("a", late)));
            await().until(this::hasIdleConnection);

            assertThat(send("b")).isEqualTo("ok");

            assertThat(late).isNotDone();
            assertThat(accepted).hasValue(1);
        }

        /** Guards against a request that a late event loop sends just before it reads that the caller has left. */
        @Test
        void should_not_be_sent_when_the_callers_leaving_is_read_at_the_same_time() throws IOException {
            responses.add(LONG_KEEP_ALIVE.formatted("b"));
            CompletableFuture<String> abandoned = new CompletableFuture<>();
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
            AtomicReference<HttpExchange> exchange = new AtomicReference<>();
            try (ServerSocket callers = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                onEndOf(callers, () -> exchange.get().cancel());
                Socket caller = callers.accept();
                loop.submit(() -> {
                            exchange.set(connections.send(
                                    target(), "a", request, ConnectionOptions.ANY_IDLE, new Collector("a", abandoned)));
                            caller.close();
                            return null;
                        })
                        .syncUninterruptibly();
            }
            await().until(this::hasIdleConnection);

            assertThat(send("b")).isEqualTo("ok");

            assertThat(abandoned).isNotDone();
            assertThat(accepted).hasValue(1);
        }

        private void onEndOf(ServerSocket callers, Runnable action) {
            new Bootstrap()
                    .group(loop)
                    .channel(EpollSocketChannel.class)
                    .handler(new ChannelInboundHandlerAdapter() {
                        @Override
                        public void channelInactive(ChannelHandlerContext context) {
                            action.run();
                        }
                    })
                    .connect(callers.getLocalSocketAddress())
                    .syncUninterruptibly();
        }
    }

    private static final class Collector implements ResponseListener {

        private final String identifier;
        private final CompletableFuture<String> result;
        private final StringBuilder body = new StringBuilder();

        private Collector(String identifier, CompletableFuture<String> result) {
            this.identifier = identifier;
            this.result = result;
        }

        @Override
        public boolean onHead(HttpResponse head, ConnectionUse use) {
            return identifier.equals(head.headers().get("X-Id"));
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
    class Reuse {

        @Test
        void should_reuse_a_connection_when_it_is_kept_alive() {
            responses.addAll(List.of(LONG_KEEP_ALIVE.formatted("a"), LONG_KEEP_ALIVE.formatted("b")));

            assertThat(send("a")).isEqualTo("ok");
            assertThat(send("b")).isEqualTo("ok");
            assertThat(accepted).hasValue(1);
        }

        @Test
        void should_not_reuse_a_connection_when_the_response_closes_it() {
            responses.addAll(List.of(
                    COMPLETE.formatted("a").replace("X-Id", "Connection: close\r\nX-Id"), COMPLETE.formatted("b")));

            assertThat(send("a")).isEqualTo("ok");
            assertThat(send("b")).isEqualTo("ok");
            assertThat(accepted).hasValue(2);
        }

        /** Guards against taking a copy of the first response for the response to a later attempt. */
        @Test
        void should_not_carry_a_request_twice_whatever_the_first_response_was() {
            responses.addAll(List.of(
                    LONG_KEEP_ALIVE.formatted("a"), LONG_KEEP_ALIVE.formatted("a"), LONG_KEEP_ALIVE.formatted("b")));

            assertThat(send("a")).isEqualTo("ok");
            assertThat(send("a")).isEqualTo("ok");
            assertThat(accepted).hasValue(2);
            assertThat(send("b")).isEqualTo("ok");
            assertThat(accepted).hasValue(2);
        }
    }

    /** The body of a response to HEAD is empty whatever its length, so a copy of another response can't be skipped. */
    @Nested
    class RequestsForTheHead {

        private static final String HEAD =
                "HTTP/1.1 200 OK\r\nX-Id: %s\r\nKeep-Alive: timeout=60\r\nContent-Length: 2\r\n\r\n";

        @Test
        void should_not_be_sent_on_a_connection_on_which_a_copy_of_an_earlier_response_may_come() {
            responses.addAll(List.of(LONG_KEEP_ALIVE.formatted("a"), HEAD.formatted("b")));

            assertThat(send("a")).isEqualTo("ok");
            assertThat(sendHead("b")).isEmpty();
            assertThat(accepted).hasValue(2);
        }

        @Test
        void should_not_leave_a_connection_on_which_a_copy_of_the_response_contains_the_next_one() {
            responses.addAll(List.of(HEAD.formatted("a"), LONG_KEEP_ALIVE.formatted("b")));

            assertThat(sendHead("a")).isEmpty();
            assertThat(send("b")).isEqualTo("ok");
            assertThat(accepted).hasValue(2);
        }
    }

    @Nested
    class Refusals {

        private static final String REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nX-Id: %s\r\n"
                + "Keep-Alive: timeout=60\r\nContent-Length: 4\r\n\r\nfull";

        @Test
        void should_not_be_taken_for_the_response_to_the_next_attempt_when_they_are_written_once_more() {
            responses.addAll(
                    List.of(REFUSAL.formatted("a"), LONG_KEEP_ALIVE.formatted("a"), LONG_KEEP_ALIVE.formatted("b")));

            assertThat(send("a")).isEqualTo("full");
            assertThat(send("a")).isEqualTo("ok");
            assertThat(accepted).hasValue(2);
            assertThat(send("b")).isEqualTo("ok");
            assertThat(accepted).hasValue(2);
        }

        @Test
        void should_close_a_connection_that_can_not_know_more_of_them() {
            for (int number = 0; number < 17; number++) {
                responses.add(REFUSAL.formatted("r" + number));
                assertThat(send("r" + number)).isEqualTo("full");
            }

            assertThat(accepted).hasValue(2);
        }
    }

    @Nested
    class UnexpectedBytes {

        @Test
        void should_skip_a_response_when_it_belongs_to_another_request() {
            responses.add(COMPLETE.formatted("other") + COMPLETE.formatted("a").replace("ok", "my"));

            assertThat(send("a")).isEqualTo("my");
        }

        @Test
        void should_not_use_bytes_for_a_later_request_when_they_follow_a_response() {
            responses.addAll(List.of(
                    LONG_KEEP_ALIVE.formatted("a") + COMPLETE.formatted("b").replace("ok", "xx"),
                    COMPLETE.formatted("b")));

            assertThat(send("a")).isEqualTo("ok");
            assertThat(send("b")).isEqualTo("ok");
        }

        @Test
        void should_not_wait_for_a_response_behind_one_that_ends_the_connection() {
            isEndedFirst = true;
            responses.add("HTTP/1.1 200 OK\r\nX-Id: other\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n");

            assertThat(send("a")).isEqualTo("MALFORMED_ANSWER");
        }

        @Test
        void should_fail_when_the_other_end_switches_to_a_protocol_that_was_not_asked_for() {
            responses.add(
                    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n" + LONG_KEEP_ALIVE.formatted("a"));

            assertThat(send("a")).isEqualTo("MALFORMED_ANSWER");
        }

        @Test
        void should_fail_when_the_bytes_are_no_response() {
            responses.add("garbage\r\n\r\nContent-Length\r\n\r\n");

            assertThat(send("a")).isIn("MALFORMED_ANSWER", "NO_ANSWER");
        }
    }

    @Nested
    class FailedExchanges {

        @Test
        void should_report_no_answer_when_the_connection_closes_without_a_response() {
            responses.add("");

            assertThat(send("a")).isEqualTo("NO_ANSWER");
        }

        @Test
        void should_report_not_sent_when_no_connection_can_be_opened() throws IOException {
            int unusedPort;
            // No thread accepts connections on this socket: one that does could still accept a connection after the
            // close.
            try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                unusedPort = unused.getLocalPort();
            }

            assertThat(send("a", unusedPort)).isEqualTo("NOT_SENT");
        }

        @Test
        void should_accept_a_response_without_a_length_when_its_connection_ends() {
            responses.add("HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nall of it");

            assertThat(send("a")).isEqualTo("all of it");
        }

        @Test
        void should_fail_a_response_without_a_length_when_its_connection_is_reset() {
            isReset = true;
            responses.add("HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n" + "part".repeat(10));

            assertThat(send("a")).isIn("BROKEN_ANSWER", "NO_ANSWER");
        }

        /** Guards against part of a response that is taken for all of it, as the reset ends the request's writing. */
        @Test
        void should_fail_a_response_without_a_length_when_the_reset_comes_before_the_request_was_written() {
            isReset = true;
            responses.add("HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n" + "part".repeat(10));

            String result = send("a", server.getLocalPort(), Unpooled.wrappedBuffer(new byte[LONG_BODY_BYTES]));

            assertThat(result).isIn("BROKEN_ANSWER", "NO_ANSWER");
        }

        @Test
        void should_accept_a_response_without_a_length_when_it_ends_before_the_request_was_written() {
            isEndedFirst = true;
            isReset = true;
            responses.add("HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nall of it");

            String result = send("a", server.getLocalPort(), Unpooled.wrappedBuffer(new byte[LONG_BODY_BYTES]));

            assertThat(result).isEqualTo("all of it");
        }

        @Test
        void should_fail_a_response_when_it_is_truncated() {
            responses.add("HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");

            assertThat(send("a")).isEqualTo("BROKEN_ANSWER");
        }
    }
}
