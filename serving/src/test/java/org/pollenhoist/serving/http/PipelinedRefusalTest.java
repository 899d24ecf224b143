package org.pollenhoist.serving.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.catalog.CallerLimits;
import org.pollenhoist.serving.transport.Transport;

/** Guards against a refusal of a later request that a caller takes for the response to an earlier one. */
class PipelinedRefusalTest {

    private static final int OK = 200;
    private static final Pattern STATUS = Pattern.compile("HTTP/1\\.1 (\\d{3})");
    private static final String GET = "GET /%s HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final String MALFORMED = "GET /b HTTP/1.1\r\nHost a\r\n\r\n";
    private static final String AMBIGUOUS = "GET /b HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n";
    private static final String OVERSIZED = "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s";

    private final EventLoop loop = Transport.newEventLoop();
    private final BlockingQueue<CallerResponse> handled = new LinkedBlockingQueue<>();
    private final CallerServer server =
            new CallerServer(loop, MonotonicTime::read, () -> CallerLimits.DEFAULTS, Set.of(), this::handle);
    private InetSocketAddress address;

    @BeforeEach
    void listen() {
        address = (InetSocketAddress) server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel()
                .localAddress();
    }

    @AfterEach
    void stop() {
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private Runnable handle(IncomingRequest request, CallerResponse response) {
        request.body().release();
        handled.add(response);
        return () -> {};
    }

    private static void send(Socket socket, String bytes) throws IOException {
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
    }

    private CallerResponse nextHandled() throws InterruptedException {
        CallerResponse response = handled.poll(60, TimeUnit.SECONDS);
        assertThat(response).isNotNull();
        return response;
    }

    private void respond(CallerResponse response, HttpHeaders headers) {
        loop.submit(() -> response.sendFull(OK, headers, Unpooled.EMPTY_BUFFER)).syncUninterruptibly();
    }

    /** Waits until the server has read what was sent before. */
    private void awaitRead() throws IOException, InterruptedException {
        for (int round = 0; round < 2; round++) {
            try (Socket other = new Socket(address.getAddress(), address.getPort())) {
                send(other, GET.formatted("other"));
                respond(nextHandled(), new DefaultHttpHeaders());
            }
        }
    }

    /** Returns what the server sends until it closes the connection. */
    private static String received(Socket socket) throws IOException {
        socket.setSoTimeout(10_000);
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    private static List<Integer> statuses(Socket socket) throws IOException {
        return STATUS.matcher(received(socket))
                .results()
                .map((MatchResult found) -> Integer.valueOf(found.group(1)))
                .toList();
    }

    private static String oversized() {
        int bytes = CallerLimits.DEFAULTS.bodyBytes() + 1;
        return OVERSIZED.formatted(bytes, "x".repeat(bytes));
    }

    @Nested
    class RefusalOfALaterRequest {

        @ParameterizedTest
        @ValueSource(strings = {MALFORMED, AMBIGUOUS})
        void should_follow_the_response_to_the_earlier_one_when_it_is_malformed(String later)
                throws IOException, InterruptedException {
            try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
                send(caller, GET.formatted("a"));
                CallerResponse response = nextHandled();
                send(caller, later);
                awaitRead();

                respond(response, new DefaultHttpHeaders());

                assertThat(statuses(caller)).containsExactly(OK, 400);
            }
        }

        @Test
        void should_follow_the_response_to_the_earlier_one_when_its_body_is_too_large()
                throws IOException, InterruptedException {
            try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
                send(caller, GET.formatted("a"));
                CallerResponse response = nextHandled();
                send(caller, oversized());
                awaitRead();

                respond(response, new DefaultHttpHeaders());

                assertThat(statuses(caller)).containsExactly(OK, 413);
            }
        }

        @Test
        void should_follow_the_responses_to_all_earlier_ones() throws IOException, InterruptedException {
            try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
                send(caller, GET.formatted("a") + GET.formatted("b") + MALFORMED);
                CallerResponse response = nextHandled();
                awaitRead();

                respond(response, new DefaultHttpHeaders());
                respond(nextHandled(), new DefaultHttpHeaders());

                assertThat(statuses(caller)).containsExactly(OK, OK, 400);
            }
        }

        @Test
        void should_follow_the_end_of_a_stream() throws IOException, InterruptedException {
            try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
                send(caller, GET.formatted("a"));
                CallerResponse response = nextHandled();
                loop.submit(() -> response.begin(OK, new DefaultHttpHeaders())).syncUninterruptibly();
                send(caller, MALFORMED);
                awaitRead();

                loop.submit(response::end).syncUninterruptibly();

                assertThat(received(caller)).startsWith("HTTP/1.1 200").containsPattern("\r\n0\r\n\r\nHTTP/1\\.1 400");
            }
        }

        @Test
        void should_not_follow_a_response_after_which_the_connection_closes() throws IOException, InterruptedException {
            try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
                send(caller, "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
                CallerResponse response = nextHandled();
                send(caller, MALFORMED);
                awaitRead();

                respond(response, new DefaultHttpHeaders());

                assertThat(statuses(caller)).containsExactly(OK);
            }
        }
    }

    @Nested
    class RefusalOfTheOnlyRequest {

        @ParameterizedTest
        @ValueSource(strings = {MALFORMED, AMBIGUOUS})
        void should_be_sent_at_once(String only) throws IOException {
            try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
                send(caller, only);

                assertThat(statuses(caller)).containsExactly(400);
            }
        }

        @Test
        void should_be_sent_at_once_when_its_body_is_too_large() throws IOException {
            try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
                send(caller, oversized());

                assertThat(statuses(caller)).containsExactly(413);
            }
        }
    }
}
