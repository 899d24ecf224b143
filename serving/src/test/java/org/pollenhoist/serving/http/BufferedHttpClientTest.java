package org.pollenhoist.serving.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;

/** Guards against transfers that are given up, and begun again from nothing, although they make progress. */
class BufferedHttpClientTest {

    private static final ResponseTimeout TIMEOUT = new ResponseTimeout(Duration.ofSeconds(1), Duration.ofSeconds(1));

    private final EpollEventLoopGroup group = new EpollEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final BufferedHttpClient client = new BufferedHttpClient(
            loop, new HttpConnectionPool(loop, MonotonicTime::read, Set.of(), (target, head) -> {}));

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** Sends a response in pieces of the same size, with a pause after each. */
    private static void send(ServerSocket server, int pieces, int pieceBytes, Duration pause) {
        try (Socket socket = server.accept()) {
            assertThat(socket.getInputStream().read()).isNotNegative();
            OutputStream output = socket.getOutputStream();
            String head = "HTTP/1.1 200 OK\r\nContent-Length: " + (long) pieces * pieceBytes + "\r\n\r\n";
            output.write(head.getBytes(StandardCharsets.US_ASCII));
            for (int piece = 0; piece < pieces; piece++) {
                output.write(new byte[pieceBytes]);
                Thread.sleep(pause);
            }
        } catch (IOException clientClosed) {
            // The client has given up.
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private BufferedHttpClient.Result receive(int pieces, int pieceBytes, Duration pause) throws IOException {
        return receive(pieces, pieceBytes, pause, TIMEOUT);
    }

    private BufferedHttpClient.Result receive(int pieces, int pieceBytes, Duration pause, ResponseTimeout timeout)
            throws IOException {
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            Thread thread = new Thread(() -> send(server, pieces, pieceBytes, pause), "server");
            thread.setDaemon(true);
            thread.start();
            return call(server, timeout);
        }
    }

    private BufferedHttpClient.Result call(ServerSocket server) {
        return call(server, TIMEOUT);
    }

    private BufferedHttpClient.Result call(ServerSocket server, ResponseTimeout timeout) {
        Target target = new Target(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), "1");
        CompletableFuture<BufferedHttpClient.Result> result = new CompletableFuture<>();
        loop.execute(() -> client.call(
                target,
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER),
                timeout,
                result::complete));
        return result.orTimeout(60, TimeUnit.SECONDS).join();
    }

    @Nested
    class Progress {

        @Test
        void should_receive_a_response_that_takes_several_times_as_long_as_it_may_take_to_begin() throws IOException {
            BufferedHttpClient.Result result = receive(30, 16_384, Duration.ofMillis(100));

            assertThat(result)
                    .isInstanceOfSatisfying(
                            BufferedHttpClient.Result.Answered.class,
                            answered -> assertThat(answered.body()).hasSize(30 * 16_384));
        }
    }

    /** The periods of relays and watches. */
    @Nested
    class SharedLink {

        /** What a fiftieth of a link of 7 Mbit/s carries: as much as each of 50 transfers gets that fill it. */
        private static final int BYTES_PER_SECOND = 7_000_000 / 8 / 50;

        @Test
        void should_not_begin_a_watch_again_that_has_a_fiftieth_of_the_narrowest_link() throws IOException {
            Duration pause = Duration.ofMillis(100);
            int pieceBytes = BYTES_PER_SECOND / 10;
            ResponseTimeout watch = new ResponseTimeout(Duration.ofMillis(1_300), Duration.ofMillis(400));

            assertThat(receive(30, pieceBytes, pause, watch)).isInstanceOf(BufferedHttpClient.Result.Answered.class);
        }
    }

    @Nested
    class Stall {

        @Test
        void should_give_up_a_response_that_does_not_begin() throws IOException {
            try (ServerSocket silent = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
                assertThat(call(silent))
                        .isEqualTo(new BufferedHttpClient.Result.Failed(true, "no response within 1000 ms"));
            }
        }

        @Test
        void should_give_up_a_response_that_ceases_to_come() throws IOException {
            assertThat(receive(2, 16_384, Duration.ofMinutes(2)))
                    .isEqualTo(new BufferedHttpClient.Result.Failed(
                            true, "incomplete response, 16384 bytes, of them 0 in the last 1000 ms"));
        }

        @Test
        void should_give_up_a_response_that_brings_a_byte_now_and_then() throws IOException {
            assertThat(receive(100_000, 1, Duration.ofMillis(20))).isInstanceOf(BufferedHttpClient.Result.Failed.class);
        }
    }
}
