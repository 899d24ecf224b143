package org.pollenhoist.serving.forwarding;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
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
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.http.CallerResponse;
import org.pollenhoist.serving.http.HttpConnectionPool;
import org.pollenhoist.serving.http.IncomingRequest;
import org.pollenhoist.serving.limit.RateLimitNotice;
import org.pollenhoist.serving.request.CallerRequest;
import org.pollenhoist.serving.request.ForwardingMetadata;
import org.pollenhoist.serving.request.RequestFormat;
import org.pollenhoist.serving.request.ResponseHead;
import org.pollenhoist.serving.transport.Transport;
import org.pollenhoist.serving.upstream.UpstreamDescription;
import org.pollenhoist.serving.upstream.UpstreamTable;

/** Sends requests for a peer to an upstream that writes scripted responses. */
class ForwardingServerTest {

    private static final Duration TIME_BUDGET = Duration.ofSeconds(5);
    private static final String IDENTIFIER = "X-Id";
    private static final String KEPT = "Keep-Alive: timeout=60\r\nContent-Length: 0\r\n\r\n";
    private static final String REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nX-Id: a\r\n" + KEPT;
    private static final String FAILURE = "HTTP/1.1 500 Internal Server Error\r\nX-Id: a\r\n" + KEPT;
    private static final String UNNAMED_REFUSAL = "HTTP/1.1 503 Service Unavailable\r\n" + KEPT;
    private static final String ANSWER = "HTTP/1.1 200 OK\r\nX-Id: a\r\n" + KEPT;
    private static final String OTHER_ANSWER = "HTTP/1.1 200 OK\r\nX-Id: b\r\n" + KEPT;

    private final EventLoop loop = Transport.newEventLoop();
    private final UpstreamTable upstreams = new UpstreamTable();
    private final ForwardingServer forwarding = new ForwardingServer(
            new HttpConnectionPool(loop, MonotonicTime::read, Set.of(), (target, head) -> {}),
            upstreams,
            new Format(),
            MonotonicTime::read,
            () -> true,
            address -> true);

    /** For each connection in turn, the responses to its requests. */
    private final List<List<String>> scripts = new CopyOnWriteArrayList<>();

    /** Completes when the VM has closed a connection to the upstream. */
    private final CompletableFuture<Boolean> closedByVm = new CompletableFuture<>();

    private ServerSocket upstream;

    @BeforeEach
    void listen() throws IOException {
        upstream = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::acceptConnections, "upstream");
        thread.setDaemon(true);
        thread.start();
        upstreams.put(
                new UpstreamDescription(
                        "i-1",
                        1,
                        "app",
                        "v1",
                        new InetSocketAddress(upstream.getInetAddress(), upstream.getLocalPort()),
                        "north",
                        4,
                        false,
                        0,
                        List.of(),
                        Set.of()),
                MonotonicTime.read());
    }

    @AfterEach
    void stop() throws IOException {
        upstream.close();
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private void acceptConnections() {
        while (!upstream.isClosed()) {
            try {
                Socket connection = upstream.accept();
                List<String> script = scripts.remove(0);
                Thread thread = new Thread(() -> respond(connection, script), "connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void respond(Socket connection, List<String> script) {
        try (connection) {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
            for (String response : script) {
                for (String line = reader.readLine(); line != null && !line.isEmpty(); line = reader.readLine()) {
                    // The rest of the head is not needed.
                }
                connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                connection.getOutputStream().flush();
            }
            reader.readLine();
        } catch (IOException closed) {
            // The connection was closed, as in tests of responses that belong to no request.
        }
        closedByVm.complete(true);
    }

    /** Returns the status that the peer gets. */
    private int send(String identifier) {
        return start(identifier).status.orTimeout(10, TimeUnit.SECONDS).join();
    }

    private Collector start(String identifier) {
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        head.headers().set(IDENTIFIER, identifier);
        head.headers().set(ForwardingHeaders.UPSTREAM, "i-1");
        head.headers().set(ForwardingHeaders.UPSTREAM_STARTED, "1");
        head.headers().set(ForwardingHeaders.REPEATABLE, "true");
        Collector collector = new Collector();
        IncomingRequest request = new IncomingRequest(head, Unpooled.EMPTY_BUFFER, InetAddress.getLoopbackAddress());
        loop.execute(() -> forwarding.onRequest(request, collector));
        return collector;
    }

    private int runningRequests() {
        return loop.submit(forwarding::runningRequests).syncUninterruptibly().getNow();
    }

    @Nested
    class Deadlines {

        private static final String SILENCE = "";

        /** Guards against a request that runs, or begins to run, after its caller has left a VM that is cut off. */
        @Test
        void should_end_a_request_at_its_upstream_when_its_time_is_up() {
            scripts.add(List.of(SILENCE));
            Collector collector = start("a");
            await().until(() -> scripts.isEmpty() && runningRequests() == 1);

            expireAfter(TIME_BUDGET.minusSeconds(1));
            assertThat(runningRequests()).isEqualTo(1);
            expireAfter(TIME_BUDGET.plusSeconds(1));

            assertThat(collector.outcome.orTimeout(10, TimeUnit.SECONDS).join())
                    .isEqualTo(ForwardingOutcome.NO_ANSWER.text());
            assertThat(runningRequests()).isZero();
            assertThat(closedByVm.orTimeout(10, TimeUnit.SECONDS).join()).isTrue();
        }

        private void expireAfter(Duration elapsed) {
            loop.submit(() -> forwarding.expire(MonotonicTime.read().plus(elapsed)))
                    .syncUninterruptibly();
        }
    }

    @Nested
    class Refusals {

        @Test
        void should_not_be_passed_on_for_a_later_attempt_when_they_are_written_once_more() {
            scripts.add(List.of(REFUSAL, REFUSAL + ANSWER));
            scripts.add(List.of(ANSWER));

            assertThat(send("a")).isEqualTo(503);
            assertThat(send("a")).isEqualTo(200);
        }

        @Test
        void should_not_be_passed_on_for_another_request_when_they_name_none() {
            scripts.add(List.of(ANSWER, UNNAMED_REFUSAL + OTHER_ANSWER));

            assertThat(send("a")).isEqualTo(200);
            assertThat(send("b")).isEqualTo(200);
        }

        @Test
        void should_be_passed_on_when_they_name_none_on_a_new_connection() {
            scripts.add(List.of(UNNAMED_REFUSAL));

            assertThat(send("a")).isEqualTo(503);
        }
    }

    @Nested
    class Successes {

        /** Guards against a copy of the first response that is passed on as the response to a later attempt. */
        @Test
        void should_not_be_passed_on_for_a_later_attempt_when_they_are_written_once_more() {
            scripts.add(List.of(ANSWER, ANSWER + FAILURE));
            scripts.add(List.of(FAILURE));

            assertThat(send("a")).isEqualTo(200);
            assertThat(send("a")).isEqualTo(500);
        }

        @Test
        void should_count_as_running_until_the_peer_has_taken_them() {
            scripts.add(List.of(ANSWER));

            Runnable whenSent = start("a").sent.orTimeout(10, TimeUnit.SECONDS).join();

            assertThat(runningRequests()).isEqualTo(1);
            loop.submit(whenSent).syncUninterruptibly();
            assertThat(runningRequests()).isZero();
        }
    }

    private static final class Collector implements CallerResponse {

        private final CompletableFuture<Integer> status = new CompletableFuture<>();
        private final CompletableFuture<Runnable> sent = new CompletableFuture<>();
        private final CompletableFuture<String> outcome = new CompletableFuture<>();

        @Override
        public void sendFull(int code, HttpHeaders headers, ByteBuf body) {
            outcome.complete(headers.get(ForwardingHeaders.OUTCOME));
            status.completeExceptionally(new IllegalStateException(headers.toString()));
        }

        @Override
        public void begin(int code, HttpHeaders headers) {
            status.complete(code);
        }

        @Override
        public void sendChunk(ByteBuf chunk) {
            chunk.release();
        }

        @Override
        public void endThen(Runnable whenSent) {
            sent.complete(whenSent);
        }

        @Override
        public void abort() {
            // The status is all that the tests look at.
        }

        @Override
        public void onWritabilityChanged(Consumer<Boolean> listener) {
            // The peer reads at once.
        }
    }

    /** Reads the identifier of requests and responses, and nothing else. */
    private static final class Format implements RequestFormat {

        @Override
        public Set<String> eventFields() {
            return Set.of();
        }

        @Override
        public CallerRequest read(HttpRequest head) {
            return new CallerRequest(
                    head.headers().get(IDENTIFIER),
                    Optional.empty(),
                    Optional.of(TIME_BUDGET),
                    "",
                    "",
                    0,
                    0,
                    false,
                    List.of(),
                    Optional.empty(),
                    Optional.empty());
        }

        @Override
        public void forward(HttpHeaders callerHeaders, ForwardingMetadata metadata, HttpHeaders upstreamHeaders) {
            throw new UnsupportedOperationException();
        }

        @Override
        public ResponseHead readResponse(HttpResponse head) {
            return new ResponseHead(
                    head.status().code(),
                    Optional.ofNullable(head.headers().get(IDENTIFIER)),
                    true,
                    false,
                    Optional.empty(),
                    false,
                    Optional.empty(),
                    new RateLimitNotice.Unlimited(),
                    new RateLimitNotice.Unlimited());
        }

        @Override
        public void addRequestIdentifier(HttpHeaders headers, String requestIdentifier) {
            headers.set(IDENTIFIER, requestIdentifier);
        }
    }
}
