package org.pollenhoist.serving.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
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
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.http.ConnectionUse;
import org.pollenhoist.serving.http.ExchangeFailure;
import org.pollenhoist.serving.http.HttpConnectionPool;
import org.pollenhoist.serving.http.ResponseListener;
import org.pollenhoist.serving.transport.Transport;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamDescription;
import org.pollenhoist.serving.upstream.UpstreamTable;

/** Sends requests through peers that end within the head of the response that they pass on. */
class CutPeerHeadTest {

    private static final MonotonicTime DEADLINE = MonotonicTime.read().plus(Duration.ofMinutes(1));

    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    private static final String ANSWERED =
            "HTTP/1.1 200 OK\r\nX-Id: a\r\nForwarding-Outcome: answered\r\nForwarding-Explicit-End: %s\r\n" + CHUNKED;

    private static final String FAILED =
            "HTTP/1.1 200 OK\r\nForwarding-Outcome: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

    private final EventLoop loop = Transport.newEventLoop();
    private final AtomicInteger receivedRequests = new AtomicInteger();
    // Refuses connections: it is bound and does not listen, so that no other socket gets its port.
    private final Socket refusing = new Socket();
    private final List<ServerSocket> servers = new ArrayList<>();
    private UpstreamConnections connections;
    private Upstream upstream;
    private volatile String response;
    private volatile boolean isReset;

    @BeforeEach
    void start() throws IOException {
        refusing.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        UpstreamTable upstreams = new UpstreamTable();
        upstreams.put(
                new UpstreamDescription(
                        "i-1",
                        1,
                        "app",
                        "v1",
                        (InetSocketAddress) refusing.getLocalSocketAddress(),
                        "north",
                        4,
                        false,
                        0,
                        List.of(),
                        Set.of()),
                MonotonicTime.read());
        upstream = upstreams.find("i-1").orElseThrow();
        List<ForwardingPeers.Peer> peers = List.of(
                new ForwardingPeers.Peer("one", "north", serve()), new ForwardingPeers.Peer("two", "north", serve()));
        MonotonicTime begin = MonotonicTime.of(Duration.ofSeconds(10));
        // The time stands still, so that the path to the upstream stays doubtful.
        connections = new UpstreamConnections(
                new HttpConnectionPool(loop, () -> begin, Set.of(), (target, head) -> {}),
                () -> begin,
                new DirectPaths(begin),
                new ForwardingPeers("north"),
                () -> peers,
                (forwardedTo, head) -> {});
    }

    @AfterEach
    void stop() throws IOException {
        refusing.close();
        for (ServerSocket server : servers) {
            server.close();
        }
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private static InetSocketAddress address(ServerSocket server) {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    private InetSocketAddress serve() throws IOException {
        ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        servers.add(server);
        Thread thread = new Thread(() -> acceptConnections(server), "peer");
        thread.setDaemon(true);
        thread.start();
        return address(server);
    }

    private void acceptConnections(ServerSocket server) {
        while (!server.isClosed()) {
            try (Socket connection = server.accept()) {
                BufferedReader lines = new BufferedReader(
                        new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
                String line = lines.readLine();
                if (line != null) {
                    receivedRequests.incrementAndGet();
                }
                while (line != null && !line.isEmpty()) {
                    line = lines.readLine();
                }
                connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                connection.setSoLinger(isReset, 0);
            } catch (IOException closed) {
                // The VM closed first, or the test has ended.
            }
        }
    }

    private String send(String forwarded) {
        response = forwarded;
        Recorder recorder = new Recorder();
        loop.execute(() -> connections.send("a", upstream, CutPeerHeadTest::request, false, DEADLINE, recorder));
        return recorder.result.orTimeout(60, TimeUnit.SECONDS).join();
    }

    private static FullHttpRequest request() {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/", Unpooled.EMPTY_BUFFER);
    }

    private static final class Recorder implements ResponseListener {

        private final CompletableFuture<String> result = new CompletableFuture<>();

        @Override
        public boolean onHead(HttpResponse head, ConnectionUse use) {
            return "a".equals(head.headers().get("X-Id"));
        }

        @Override
        public void onBody(ByteBuf chunk) {
            // The end alone decides.
        }

        @Override
        public void onEnd() {
            result.complete("complete");
        }

        @Override
        public void onFailure(ExchangeFailure failure, String reason) {
            result.complete(failure.name());
        }
    }

    @Nested
    class ResponseOfAPeer {

        /** Guards against a cut head that counts as whole, or as a refusal, so that another peer is asked. */
        @ParameterizedTest(name = "{0}, reset {1}")
        @CsvSource({
            "explicit_end,false",
            "explicit_end,true",
            "no_explicit_end,false",
            "no_explicit_end,true",
            "declined,false",
            "declined,true",
            "not_sent,false",
            "not_sent,true",
            "no_answer,false",
            "no_answer,true"
        })
        void should_lose_the_path_and_send_nothing_again_when_it_is_cut(String form, boolean endsWithReset) {
            isReset = endsWithReset;
            String whole = switch (form) {
                case "explicit_end" -> ANSWERED.formatted("true");
                case "no_explicit_end" -> ANSWERED.formatted("false");
                default -> FAILED.formatted(form);
            };
            List<String> wrong = new ArrayList<>();
            for (int length = 0; length < whole.length(); length++) {
                int before = receivedRequests.get();
                String result = send(whole.substring(0, length));
                if (!"PATH_LOST".equals(result) || receivedRequests.get() - before != 1) {
                    wrong.add(result + " after " + length + " bytes, sent " + (receivedRequests.get() - before));
                }
            }

            assertThat(wrong).isEmpty();
        }

        /** Each on a connection of its own: the peer closes also those that its response keeps open. */
        @Test
        void should_be_passed_on_when_it_is_whole_and_successful() {
            assertThat(send(ANSWERED.formatted("true"))).isEqualTo("complete");
        }

        @Test
        void should_be_passed_on_when_it_is_whole_and_not_answered() {
            assertThat(send(FAILED.formatted("no_answer"))).isEqualTo("NO_ANSWER");
            assertThat(send(FAILED.formatted("not_sent"))).isEqualTo("NOT_SENT");
        }
    }
}
