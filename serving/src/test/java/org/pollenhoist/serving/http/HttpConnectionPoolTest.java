package org.pollenhoist.serving.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.epoll.EpollEventLoopGroup;
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
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;

/** The client against servers that break the protocol. */
class HttpConnectionPoolTest {

    private static final String WHOLE = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok";
    private static final String LONG_KEEP_ALIVE =
            "HTTP/1.1 200 OK\r\nX-Id: %s\r\nKeep-Alive: timeout=60\r\nContent-Length: 2\r\n\r\nok";

    private final EpollEventLoopGroup group = new EpollEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final HttpConnectionPool connections =
            new HttpConnectionPool(loop, MonotonicTime::read, (target, head) -> {});
    private final List<String> answers = new CopyOnWriteArrayList<>();
    private final AtomicInteger accepted = new AtomicInteger();
    private ServerSocket server;
    private volatile boolean isReset;

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

    /** Answers each request with the next of the scripted answers; an empty one closes the connection. */
    private void serve() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                accepted.incrementAndGet();
                Thread thread = new Thread(() -> answer(socket), "connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void answer(Socket socket) {
        try (socket) {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            while (reader.readLine() != null) {
                String line = reader.readLine();
                while (line != null && !line.isEmpty()) {
                    line = reader.readLine();
                }
                String scripted = answers.remove(0);
                socket.getOutputStream().write(scripted.getBytes(StandardCharsets.US_ASCII));
                socket.getOutputStream().flush();
                if (scripted.isEmpty() || !scripted.contains("Content-Length")) {
                    if (isReset) {
                        socket.setSoLinger(true, 0);
                    }
                    return;
                }
            }
        } catch (IOException gone) {
            // The client has closed the connection, which some tests ask for.
        }
    }

    /** Sends a request and returns the body, or the failure. */
    private String send(String identifier) {
        return send(identifier, server.getLocalPort());
    }

    private String send(String identifier, int port) {
        CompletableFuture<String> result = new CompletableFuture<>();
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER);
        Target target = new Target(new InetSocketAddress(server.getInetAddress(), port), "1");
        loop.execute(
                () -> connections.send(target, request, ConnectionOptions.ANY_IDLE, new Collector(identifier, result)));
        return result.orTimeout(10, TimeUnit.SECONDS).join();
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
        public boolean onHead(HttpResponse head) {
            return identifier.equals(head.headers().get("X-Id"));
        }

        @Override
        public void onBody(ByteBuf part) {
            body.append(part.toString(StandardCharsets.US_ASCII));
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
        void should_use_a_connection_again() {
            answers.addAll(List.of(LONG_KEEP_ALIVE.formatted("a"), LONG_KEEP_ALIVE.formatted("b")));

            assertThat(send("a")).isEqualTo("ok");
            assertThat(send("b")).isEqualTo("ok");
            assertThat(accepted).hasValue(1);
        }

        @Test
        void should_not_use_a_connection_again_that_is_to_be_closed() {
            answers.addAll(
                    List.of(WHOLE.formatted("a").replace("X-Id", "Connection: close\r\nX-Id"), WHOLE.formatted("b")));

            assertThat(send("a")).isEqualTo("ok");
            assertThat(send("b")).isEqualTo("ok");
            assertThat(accepted).hasValue(2);
        }
    }

    @Nested
    class ForeignBytes {

        @Test
        void should_skip_an_answer_to_another_request() {
            answers.add(WHOLE.formatted("other") + WHOLE.formatted("a").replace("ok", "my"));

            assertThat(send("a")).isEqualTo("my");
        }

        @Test
        void should_give_bytes_after_an_answer_to_no_request() {
            answers.addAll(List.of(
                    LONG_KEEP_ALIVE.formatted("a") + WHOLE.formatted("b").replace("ok", "xx"), WHOLE.formatted("b")));

            assertThat(send("a")).isEqualTo("ok");
            assertThat(send("b")).isEqualTo("ok");
        }

        @Test
        void should_fail_on_bytes_that_are_no_answer() {
            answers.add("garbage\r\n\r\nContent-Length\r\n\r\n");

            assertThat(send("a")).isIn("MALFORMED_ANSWER", "NO_ANSWER");
        }
    }

    @Nested
    class BrokenAnswers {

        @Test
        void should_tell_that_no_answer_came() {
            answers.add("");

            assertThat(send("a")).isEqualTo("NO_ANSWER");
        }

        @Test
        void should_tell_that_nothing_was_sent() throws IOException {
            int unusedPort;
            // No thread has ever waited for connections there: one that does may still accept after the close.
            try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                unusedPort = unused.getLocalPort();
            }

            assertThat(send("a", unusedPort)).isEqualTo("NOT_SENT");
        }

        @Test
        void should_take_an_answer_without_a_length_for_whole_when_its_connection_ends() {
            answers.add("HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nall of it");

            assertThat(send("a")).isEqualTo("all of it");
        }

        @Test
        void should_not_take_an_answer_without_a_length_for_whole_when_its_connection_is_reset() {
            isReset = true;
            answers.add("HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n" + "part".repeat(10));

            assertThat(send("a")).isIn("BROKEN_ANSWER", "NO_ANSWER");
        }

        @Test
        void should_not_take_a_truncated_answer_for_whole() {
            answers.add("HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");

            assertThat(send("a")).isEqualTo("BROKEN_ANSWER");
        }
    }
}
