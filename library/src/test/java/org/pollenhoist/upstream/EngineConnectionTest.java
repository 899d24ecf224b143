package org.pollenhoist.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.io.BufferedReader;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EngineConnectionTest {

    private static final String WHOLE = "HTTP/1.1 200 OK\r\nX-Kind: report\r\nContent-Length: 2\r\n\r\n{}";

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final Semaphore isIdle = new Semaphore(0);

    /** What the engine reads after the bytes that it sends without a request: "null" if the connection was closed. */
    private final BlockingQueue<String> idleEnds = new LinkedBlockingQueue<>();

    private ServerSocket server;
    private volatile String response = "";
    private volatile String secondResponse = "";
    private volatile String idleBytes = "";
    private volatile boolean isReset;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::acceptConnections, "engine");
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private void acceptConnections() {
        while (!server.isClosed()) {
            try (Socket connection = server.accept()) {
                BufferedReader lines = new BufferedReader(
                        new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
                respond(connection, lines, response);
                connection.setSoLinger(isReset, 0);
                if (!idleBytes.isEmpty()) {
                    isIdle.acquireUninterruptibly();
                    connection.getOutputStream().write(idleBytes.getBytes(StandardCharsets.US_ASCII));
                    idleEnds.add(nextLine(lines));
                }
                if (!secondResponse.isEmpty()) {
                    respond(connection, lines, secondResponse);
                    lines.readLine();
                }
            } catch (IOException closed) {
                // The client closed first, or the test has ended.
            }
        }
    }

    private static String nextLine(BufferedReader lines) {
        try {
            return String.valueOf(lines.readLine());
        } catch (IOException reset) {
            return "null";
        }
    }

    private static void respond(Socket connection, BufferedReader lines, String bytes) throws IOException {
        String line = lines.readLine();
        while (line != null && !line.isEmpty()) {
            // Bytes of a request that was not read would turn a close into a reset.
            line = lines.readLine();
        }
        if (line == null) {
            throw new EOFException("closed before a request");
        }
        connection.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
    }

    /** Returns the status of the answer, or "failed". */
    private String request() {
        return EngineConnection.open(group, "127.0.0.1", server.getLocalPort(), Duration.ofSeconds(10))
                .thenCompose(connection -> connection.request(HttpMethod.GET, "/", new byte[0]))
                .thenApply(answer -> String.valueOf(answer.status()))
                .exceptionally(failure -> "failed")
                .orTimeout(60, TimeUnit.SECONDS)
                .join();
    }

    @Nested
    class Answers {

        /** Guards against an answer whose head is cut and that counts as one without a body. */
        @ParameterizedTest(name = "reset {0}")
        @ValueSource(booleans = {false, true})
        void should_fail_when_they_are_cut_before_any_byte(boolean endsWithReset) {
            isReset = endsWithReset;
            List<String> wrong = new ArrayList<>();
            for (int length = 0; length < WHOLE.length(); length++) {
                response = WHOLE.substring(0, length);
                String result = request();
                if (!"failed".equals(result)) {
                    wrong.add(result + " after " + length + " bytes");
                }
            }
            response = WHOLE;
            isReset = false;

            assertThat(wrong).isEmpty();
            assertThat(request()).isEqualTo("200");
        }
    }

    @Nested
    class LateCopies {

        private static final String COPY_HEAD =
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 14\r\n\r\n";
        private static final String COPY_BODY = "{\"earlier\": 1}";
        private static final String ANSWER = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
                + "Content-Length: 12\r\n\r\n{\"later\": 2}";
        private static final String ANSWERED = "503 {\"later\": 2}";

        /** Returns the status and body of the answer to a second request on a connection, "failed" or "waiting". */
        private String secondAnswer(String firstBytes, String secondBytes) {
            response = firstBytes;
            secondResponse = secondBytes;
            EngineConnection connection = EngineConnection.open(
                            group, "127.0.0.1", server.getLocalPort(), Duration.ofSeconds(10))
                    .join();
            try {
                return connection
                        .request(HttpMethod.GET, "/", new byte[0])
                        .thenCompose(first -> connection.request(HttpMethod.GET, "/", new byte[0]))
                        .thenApply(answer ->
                                answer.status() + " " + new String(answer.content(), StandardCharsets.US_ASCII))
                        .completeOnTimeout("waiting", 20, TimeUnit.SECONDS)
                        .exceptionally(failure -> "failed")
                        .join();
            } finally {
                connection.close();
            }
        }

        /** Guards against two answers in one head, with the status of the first and the body of the second. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Content-Type: application/json\r\nContent-Length: 14\r\n",
                    "Content-Length: 14\r\nContent-Type: application/json\r\n",
                    "X-Kind: report\r\nContent-Type: application/json\r\nContent-Length: 14\r\n"
                })
        void should_not_be_read_with_the_next_answer_when_they_break_off_in_their_head(String fields) {
            String head = "HTTP/1.1 200 OK\r\n" + fields + "\r\n";
            List<String> wrong = new ArrayList<>();
            for (int cut = 0; cut < head.length(); cut++) {
                String result = secondAnswer(head + COPY_BODY, head.substring(0, cut) + ANSWER);
                if (!result.equals(cut == 0 ? ANSWERED : "failed")) {
                    wrong.add(result + " after a copy of " + cut + " bytes");
                }
            }

            assertThat(wrong).isEmpty();
        }

        /** Guards against an answer that consists of the head of the copy and of bytes of the next answer. */
        @Test
        void should_not_be_read_with_the_next_answer_when_they_break_off_in_their_body() {
            List<String> wrong = new ArrayList<>();
            for (int cut = 0; cut <= COPY_BODY.length(); cut++) {
                String result = secondAnswer(COPY_HEAD + COPY_BODY, COPY_HEAD + COPY_BODY.substring(0, cut) + ANSWER);
                if (!"failed".equals(result)) {
                    wrong.add(result + " after a copy with " + cut + " bytes of its body");
                }
            }

            assertThat(wrong).isEmpty();
        }

        /** Guards against an answer that is part of the body of the copy, for which the caller waits. */
        @Test
        void should_end_the_request_when_their_body_contains_the_next_answer() {
            String head = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n";

            assertThat(secondAnswer(head + " ".repeat(1_000), head + "{" + ANSWER))
                    .isEqualTo("failed");
        }

        /** Guards against bytes on an idle connection with which the next answer would begin. */
        @Test
        void should_close_the_connection_when_they_begin_without_a_request() throws InterruptedException {
            String copy = COPY_HEAD + COPY_BODY;
            response = copy;
            List<String> ends = new ArrayList<>();
            for (int cut = 1; cut <= copy.length() && ends.isEmpty(); cut++) {
                idleBytes = copy.substring(0, cut);
                EngineConnection connection = EngineConnection.open(
                                group, "127.0.0.1", server.getLocalPort(), Duration.ofSeconds(10))
                        .join();
                connection.request(HttpMethod.GET, "/", new byte[0]).join();
                isIdle.release();
                String end = idleEnds.poll(10, TimeUnit.SECONDS);
                connection.close();
                if (!"null".equals(end)) {
                    ends.add("open after " + cut + " bytes");
                }
            }

            assertThat(ends).isEmpty();
        }

        /** Guards against bytes behind an answer with which the next answer would begin. */
        @Test
        void should_not_be_read_with_the_next_answer_when_they_begin_behind_an_answer() {
            String copy = COPY_HEAD + COPY_BODY;
            List<String> wrong = new ArrayList<>();
            for (int cut = 1; cut <= copy.length(); cut++) {
                String result = secondAnswer(copy + copy.substring(0, cut), ANSWER);
                if (!"failed".equals(result)) {
                    wrong.add(result + " after " + cut + " bytes behind the first answer");
                }
            }

            assertThat(wrong).isEmpty();
        }
    }
}
