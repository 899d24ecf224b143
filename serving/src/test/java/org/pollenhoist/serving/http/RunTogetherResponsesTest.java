package org.pollenhoist.serving.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.upstream.ResponseDecoder;

/**
 * Writes the beginning of a copy of one response before the response to the next request on a connection. Guards
 * against both being read as one response.
 */
class RunTogetherResponsesTest {

    private static final String IDENTIFIER = "X-Id";
    private static final String END_OF_HEAD = "\r\n\r\n";

    /** Where a response names its request, among its other fields. */
    private enum Place {
        FIRST,
        BEFORE_THE_LENGTH,
        AFTER_THE_LENGTH,
        LAST
    }

    private enum Framing {
        LENGTH,
        CHUNKS
    }

    /**
     * The form of the responses of an upstream.
     *
     * @param copied the status of the response that is written once more
     * @param awaited the status of the response to the next request
     */
    private record Form(Place place, Framing framing, String copied, String awaited) {

        /** Returns the response to the earlier request. */
        private String copy() {
            return response(copied, "a", "body of the copy, ".repeat(16));
        }

        private String response() {
            return response(awaited, "b", "the awaited body");
        }

        private String response(String status, String request, String body) {
            String identifier = IDENTIFIER + ": " + request + "\r\n";
            String length = framing == Framing.LENGTH
                    ? "Content-Length: " + body.length() + "\r\n"
                    : "Transfer-Encoding: chunked\r\n";
            String framed = framing == Framing.LENGTH
                    ? body
                    : Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n";
            return "HTTP/1.1 " + status + "\r\n"
                    + (place == Place.FIRST ? identifier : "")
                    + "Content-Type: text/plain\r\nKeep-Alive: timeout=60\r\n"
                    + (place == Place.BEFORE_THE_LENGTH ? identifier : "")
                    + length
                    + (place == Place.AFTER_THE_LENGTH ? identifier : "")
                    + "X-Mark: " + request + "\r\n"
                    + (place == Place.LAST ? identifier : "")
                    + "\r\n" + framed;
        }
    }

    private static Stream<Form> forms() {
        return Stream.of(Place.values())
                .flatMap(place -> Stream.of(Framing.values())
                        .flatMap(framing -> Stream.of("200 OK", "206 Partial Content", "503 Service Unavailable")
                                .flatMap(copied -> Stream.of("500 Failed", "503 Service Unavailable", "200 OK")
                                        .map(awaited -> new Form(place, framing, copied, awaited)))));
    }

    /** Records the response to a request. */
    private static final class Recorder implements ResponseListener {

        private final String identifier;
        private final StringBuilder received = new StringBuilder();
        private String result = "pending";

        private Recorder(String identifier) {
            this.identifier = identifier;
        }

        @Override
        public boolean onHead(HttpResponse head, ConnectionUse use) {
            if (!identifier.equals(head.headers().get(IDENTIFIER))) {
                return false;
            }
            received.append(head.protocolVersion()).append(' ').append(head.status());
            head.headers().forEach(field -> received.append("\r\n").append(field.getKey() + ": " + field.getValue()));
            received.append(END_OF_HEAD);
            return true;
        }

        @Override
        public void onBody(ByteBuf chunk) {
            received.append(chunk.toString(StandardCharsets.US_ASCII));
        }

        @Override
        public void onEnd() {
            result = received.toString();
        }

        @Override
        public void onFailure(ExchangeFailure failure, String reason) {
            result = failure.name();
        }
    }

    /** A connection that has carried one request. */
    private static final class UsedConnection {

        private final EmbeddedChannel channel = new EmbeddedChannel();
        private final HttpConnection connection;

        private UsedConnection(Form form) {
            HttpConnectionPool pool =
                    new HttpConnectionPool(channel.eventLoop(), MonotonicTime::read, Set.of(), (target, head) -> {});
            ResponseDecoder decoder = new ResponseDecoder(8_192, 32_768, 65_536, Set.of());
            connection = new HttpConnection(
                    pool, new Target(InetSocketAddress.createUnresolved("upstream", 1), "1"), 1, decoder);
            channel.pipeline()
                    .addLast(new HttpRequestEncoder())
                    .addLast(decoder)
                    .addLast(connection);
            send("a");
            read(form.copy());
            assertThat(channel.isOpen()).isTrue();
        }

        private Recorder send(String identifier) {
            Recorder recorder = new Recorder(identifier);
            DefaultFullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER);
            connection.start(new HttpExchange(identifier, request, recorder));
            return recorder;
        }

        private void read(String text) {
            if (channel.isOpen()) {
                channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
            }
        }
    }

    /** Returns what the awaited response looks like if it is read alone. */
    private static String alone(Form form) {
        UsedConnection used = new UsedConnection(form);
        Recorder recorder = used.send("b");
        used.read(form.response());
        return recorder.result;
    }

    private static IntStream lengthsOfHead(Form form) {
        return IntStream.range(1, form.copy().indexOf(END_OF_HEAD) + END_OF_HEAD.length());
    }

    @Nested
    class WithinTheHead {

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.http.RunTogetherResponsesTest#forms")
        void should_be_read_as_no_response_when_they_come_at_once(Form form) {
            assertNoneIsRead(form, (used, beginning) -> used.read(beginning + form.response()));
        }

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.http.RunTogetherResponsesTest#forms")
        void should_be_read_as_no_response_when_they_come_one_after_the_other(Form form) {
            assertNoneIsRead(form, (used, beginning) -> {
                used.read(beginning);
                used.read(form.response());
            });
        }

        private void assertNoneIsRead(Form form, Arrival arrival) {
            List<String> wrong = new ArrayList<>();
            lengthsOfHead(form).forEach(length -> {
                UsedConnection used = new UsedConnection(form);
                Recorder recorder = used.send("b");
                arrival.arrive(used, form.copy().substring(0, length));
                if (!"MALFORMED_ANSWER".equals(recorder.result) || used.channel.isOpen()) {
                    wrong.add(recorder.result + " of the first " + length + " bytes");
                }
            });

            assertThat(alone(form)).startsWith("HTTP/1.1 " + form.awaited());
            assertThat(wrong).isEmpty();
        }
    }

    /** The framing of a copy that breaks off within its body makes the awaited response a part of that body. */
    @Nested
    class WithinTheBody {

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.http.RunTogetherResponsesTest#forms")
        void should_fail_the_exchange_as_soon_as_the_awaited_response_has_come(Form form) {
            assertNoneIsAwaitedFurther(form, (used, beginning) -> used.read(beginning + form.response()));
        }

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.http.RunTogetherResponsesTest#forms")
        void should_fail_the_exchange_when_each_byte_comes_alone(Form form) {
            assertNoneIsAwaitedFurther(
                    form,
                    (used, beginning) -> (beginning + form.response()).chars().forEach(character -> {
                        used.read(String.valueOf((char) character));
                    }));
        }

        private void assertNoneIsAwaitedFurther(Form form, Arrival arrival) {
            List<String> wrong = new ArrayList<>();
            int headLength = form.copy().indexOf(END_OF_HEAD) + END_OF_HEAD.length();
            IntStream.range(headLength, form.copy().length()).forEach(length -> {
                UsedConnection used = new UsedConnection(form);
                Recorder recorder = used.send("b");
                arrival.arrive(used, form.copy().substring(0, length));
                boolean isFailed = List.of("MALFORMED_ANSWER", "BROKEN_ANSWER", "NO_ANSWER")
                        .contains(recorder.result);
                if (!isFailed || used.channel.isOpen()) {
                    wrong.add(recorder.result + " of the first " + length + " bytes");
                }
            });

            assertThat(wrong).isEmpty();
        }
    }

    /** A copy that is written between the parts of the awaited response takes the place of a part of its body. */
    @Nested
    class WithinTheAwaitedBody {

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.http.RunTogetherResponsesTest#forms")
        void should_not_be_read_as_that_body(Form form) {
            List<String> wrong = new ArrayList<>();
            List<String> allowed = List.of("MALFORMED_ANSWER", "BROKEN_ANSWER", alone(form));
            int headLength = form.response().indexOf(END_OF_HEAD) + END_OF_HEAD.length();
            IntStream.range(headLength, form.response().length()).forEach(length -> {
                UsedConnection used = new UsedConnection(form);
                Recorder recorder = used.send("b");
                used.read(form.response().substring(0, length));
                used.read(form.copy() + form.response().substring(length));
                if (!allowed.contains(recorder.result) || used.channel.isOpen()) {
                    wrong.add(recorder.result + " of a copy behind " + length + " bytes");
                }
            });

            assertThat(wrong).isEmpty();
        }

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.http.RunTogetherResponsesTest#forms")
        void should_not_cost_a_response_that_it_follows(Form form) {
            UsedConnection used = new UsedConnection(form);
            Recorder recorder = used.send("b");

            used.read(form.response() + form.copy());

            assertThat(recorder.result).isEqualTo(alone(form));
        }
    }

    /** Before a request was sent, the beginning of the response to it can't have come. */
    @Nested
    class OnAnIdleConnection {

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.http.RunTogetherResponsesTest#forms")
        void should_close_it_when_the_beginning_of_a_copy_arrives(Form form) {
            assertNoneIsKept(form, (used, beginning) -> used.read(beginning));
        }

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.http.RunTogetherResponsesTest#forms")
        void should_not_keep_it_when_the_beginning_of_a_copy_follows_a_response_at_once(Form form) {
            assertNoneIsKept(form, (used, beginning) -> {
                used.send("b");
                used.read(form.response() + beginning);
            });
        }

        private void assertNoneIsKept(Form form, Arrival arrival) {
            List<Integer> kept = new ArrayList<>();
            IntStream.range(1, form.copy().length()).forEach(length -> {
                UsedConnection used = new UsedConnection(form);
                arrival.arrive(used, form.copy().substring(0, length));
                if (used.channel.isOpen()) {
                    kept.add(length);
                }
            });

            assertThat(kept).isEmpty();
        }
    }

    /** Brings the beginning of the copy, and the awaited response. */
    private interface Arrival {

        void arrive(UsedConnection connection, String beginning);
    }
}
