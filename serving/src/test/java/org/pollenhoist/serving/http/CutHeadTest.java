package org.pollenhoist.serving.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
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
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.transport.Transport;
import org.pollenhoist.upstream.ResponseDecoder;

/** Guards against a response whose head is cut and that is taken for a whole one, with an empty or short body. */
class CutHeadTest {

    private static final String CONTINUE = "HTTP/1.1 100 Continue\r\nX-Hint: b\r\n\r\n";

    /** Each is cut before every byte; only the last one makes it whole. */
    private static final List<String> RESPONSES = List.of(
            "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 12\r\n\r\ntwelve bytes",
            "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            "HTTP/1.1 204 No Content\r\nX-Id: a\r\nConnection: close\r\n\r\n",
            CONTINUE + "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n");

    /** Cut before every byte of the head; then a body begins that ends with its connection. */
    private static final List<String> HEADS_WITHOUT_LENGTH = List.of(
            "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Type: text/event-stream\r\n\r\n",
            "HTTP/1.0 200 OK\r\nX-Id: a\r\n\r\n",
            CONTINUE + "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n");

    private enum End {
        CLOSE,
        RESET
    }

    private static FullHttpRequest request() {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER);
    }

    private static List<String> cutResponses() {
        return Stream.concat(RESPONSES.stream(), HEADS_WITHOUT_LENGTH.stream())
                .flatMap(CutHeadTest::beginnings)
                .toList();
    }

    private static Stream<String> wholeResponses() {
        return Stream.concat(RESPONSES.stream(), HEADS_WITHOUT_LENGTH.stream().map(head -> head + "body"));
    }

    private static Stream<String> beginnings(String text) {
        return Stream.iterate(0, length -> length < text.length(), length -> length + 1)
                .map(length -> text.substring(0, length));
    }

    /** Records the calls that a listener received, in order. */
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
    class OverSockets {

        private final EventLoop loop = Transport.newEventLoop();
        private final HttpConnectionPool connections =
                new HttpConnectionPool(loop, MonotonicTime::read, Set.of(), (target, head) -> {});
        private final BufferedHttpClient client = new BufferedHttpClient(loop, connections);
        private ServerSocket server;
        private volatile String response = "";
        private volatile End end = End.CLOSE;

        @BeforeEach
        void listen() throws IOException {
            server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
            Thread thread = new Thread(this::acceptConnections, "server");
            thread.setDaemon(true);
            thread.start();
        }

        @AfterEach
        void stop() throws IOException {
            server.close();
            loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }

        private void acceptConnections() {
            while (!server.isClosed()) {
                try (Socket connection = server.accept()) {
                    BufferedReader lines = new BufferedReader(
                            new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
                    while (!lines.readLine().isEmpty()) {
                        // Bytes of a request that was not read would turn a close into a reset.
                    }
                    connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                    if (end == End.RESET) {
                        connection.setSoLinger(true, 0);
                    }
                } catch (IOException closed) {
                    // The client closed first, or the test has ended.
                }
            }
        }

        private Target target() {
            return new Target(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), "1");
        }

        private String send() {
            Recorder recorder = new Recorder();
            loop.execute(() -> connections.send(target(), request(), ConnectionOptions.ANY_IDLE, recorder));
            return recorder.result.orTimeout(60, TimeUnit.SECONDS).join();
        }

        private BufferedHttpClient.Result call() {
            CompletableFuture<BufferedHttpClient.Result> result = new CompletableFuture<>();
            loop.execute(() -> client.call(target(), request(), Duration.ofSeconds(60), result::complete));
            return result.orTimeout(60, TimeUnit.SECONDS).join();
        }

        @ParameterizedTest
        @EnumSource
        void should_fail_as_sent_when_the_connection_ends_before_any_byte_of_the_response(End endOfConnection) {
            end = endOfConnection;
            List<String> wrong = new ArrayList<>();
            for (String cut : cutResponses()) {
                response = cut;
                String result = send();
                if (!List.of("NO_ANSWER", "BROKEN_ANSWER", "MALFORMED_ANSWER").contains(result)) {
                    wrong.add(result + " to " + cut);
                }
            }

            assertThat(wrong).isEmpty();
        }

        @ParameterizedTest
        @EnumSource
        void should_fail_a_buffered_call_as_sent_when_its_response_is_cut(End endOfConnection) {
            end = endOfConnection;
            List<String> wrong = new ArrayList<>();
            for (String cut : cutResponses()) {
                response = cut;
                BufferedHttpClient.Result result = call();
                if (!(result instanceof BufferedHttpClient.Result.Failed failed && failed.isSent())) {
                    wrong.add(result + " to " + cut);
                }
            }

            assertThat(wrong).isEmpty();
        }

        /** Each on a connection of its own: the server closes also those that a response keeps open. */
        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.http.CutHeadTest#wholeResponses")
        void should_complete_when_nothing_is_cut(String whole) {
            response = whole;

            assertThat(send()).isEqualTo("complete");
        }
    }

    /** What the codec hands on for a head that is cut differs between its versions. */
    @Nested
    class MessagesOfTheCodec {

        private final Recorder recorder = new Recorder();

        private static HttpResponse head() {
            HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers().set("X-Id", "a");
            return head;
        }

        private static HttpResponse interim() {
            return new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE);
        }

        private static <T extends HttpObject> T broken(T message) {
            message.setDecoderResult(
                    DecoderResult.failure(new PrematureChannelClosureException("closed within the head")));
            return message;
        }

        static List<List<HttpObject>> cutHeads() {
            HttpResponse full = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            full.headers().set("X-Id", "a");
            HttpResponse unknown =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_0, HttpResponseStatus.valueOf(999, "Unknown"));
            return List.of(
                    List.of(),
                    List.of(head()),
                    List.of(broken(head())),
                    List.of(broken(head()), LastHttpContent.EMPTY_LAST_CONTENT),
                    List.of(head(), broken(new DefaultLastHttpContent())),
                    List.of(broken(full)),
                    List.of(broken(unknown)),
                    List.of(interim(), LastHttpContent.EMPTY_LAST_CONTENT),
                    List.of(interim(), LastHttpContent.EMPTY_LAST_CONTENT, broken(head())),
                    List.of(broken(interim()), LastHttpContent.EMPTY_LAST_CONTENT),
                    List.of(LastHttpContent.EMPTY_LAST_CONTENT));
        }

        private static ResponseDecoder decoder() {
            return new ResponseDecoder(8_192, 32_768, 65_536, Set.of());
        }

        private EmbeddedChannel connect() {
            EmbeddedChannel channel = new EmbeddedChannel();
            HttpConnectionPool pool =
                    new HttpConnectionPool(channel.eventLoop(), MonotonicTime::read, Set.of(), (target, head) -> {});
            Target target = new Target(InetSocketAddress.createUnresolved("upstream", 1), "1");
            HttpConnection connection = new HttpConnection(pool, target, 1, decoder());
            channel.pipeline().addLast(connection);
            connection.start(new HttpExchange("a", request(), recorder));
            return channel;
        }

        @ParameterizedTest(name = "form {index}")
        @MethodSource("cutHeads")
        void should_fail_the_exchange_and_close_the_connection(List<HttpObject> messages) {
            EmbeddedChannel channel = connect();

            channel.writeInbound(messages.toArray());
            channel.finishAndReleaseAll();

            assertThat(recorder.result).isCompletedWithValueMatching(result -> !"complete".equals(result));
            assertThat(channel.isOpen()).isFalse();
        }

        @Test
        void should_mark_the_head_as_failed_when_the_codec_of_this_version_reads_it() {
            ResponseDecoder decoder = decoder();
            EmbeddedChannel channel = new EmbeddedChannel(decoder);
            decoder.awaitResponseTo(HttpMethod.GET);
            channel.writeInbound(Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\nX-Id: a\r\nCo", StandardCharsets.US_ASCII));

            channel.finish();

            HttpObject first = channel.readInbound();
            assertThat(first.decoderResult().isFailure()).isTrue();
            assertThat(first).isInstanceOf(HttpResponse.class);
        }
    }
}
