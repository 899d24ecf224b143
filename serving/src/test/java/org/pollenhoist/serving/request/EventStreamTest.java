package org.pollenhoist.serving.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EventStreamTest {

    private static final Set<String> FURTHER_FIELDS = Set.of("weights");

    private final EventStream stream =
            new EventStream(UnpooledByteBufAllocator.DEFAULT, FURTHER_FIELDS, Optional.empty());

    private Optional<String> append(String text) {
        return stream.append(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8))
                .map((ByteBuf events) -> events.toString(StandardCharsets.UTF_8));
    }

    @Nested
    class Splitting {

        @Test
        void should_return_an_event_only_when_it_is_complete() {
            assertThat(append("id: 1\ndata: x")).isEmpty();
            assertThat(append("y\n\nid: 2\nda")).contains("id: 1\ndata: xy\n\n");
            assertThat(stream.hasPartialEvent()).isTrue();
            assertThat(append("ta: z\n\n")).contains("id: 2\ndata: z\n\n");
            assertThat(stream.hasPartialEvent()).isFalse();
        }

        @Test
        void should_find_the_end_of_an_event_when_lines_end_with_carriage_return_and_line_feed() {
            assertThat(append("id: 1\r\ndata: x\r\n\r\n")).contains("id: 1\r\ndata: x\r\n\r\n");
        }

        @Test
        void should_return_all_events_when_the_stream_is_split_at_any_two_positions() {
            String text = "id: 1\r\ndata: x\r\n\r\nid: 2\ndata: y\n\n";
            for (int first = 0; first <= text.length(); first++) {
                for (int second = first; second <= text.length(); second++) {
                    EventStream split =
                            new EventStream(UnpooledByteBufAllocator.DEFAULT, FURTHER_FIELDS, Optional.empty());
                    StringBuilder events = new StringBuilder();
                    for (String part :
                            List.of(text.substring(0, first), text.substring(first, second), text.substring(second))) {
                        split.append(Unpooled.copiedBuffer(part, StandardCharsets.UTF_8))
                                .ifPresent(whole -> events.append(whole.toString(StandardCharsets.UTF_8)));
                    }
                    assertThat(events).hasToString(text);
                    assertThat(split.hasPartialEvent()).isFalse();
                }
            }
        }

        @Test
        void should_report_an_event_as_too_long_when_its_first_mebibyte_has_no_end() {
            String part = "x".repeat(16_384);
            int appended = 0;
            while (!stream.isEventTooLong()) {
                assertThat(append(part)).isEmpty();
                appended += part.length();
            }
            assertThat(appended).isEqualTo((1 << 20) + part.length());
        }

        @Test
        void should_not_report_an_event_as_too_long_when_many_complete_events_are_appended() {
            for (int number = 0; number < 100; number++) {
                append("data: " + "x".repeat(100_000) + "\n\n");
                assertThat(stream.isEventTooLong()).isFalse();
            }
        }

        @Test
        void should_discard_a_partial_event_when_asked_to() {
            append("id: 1\ndata: x");
            stream.dropPartialEvent();

            assertThat(stream.hasPartialEvent()).isFalse();
        }
    }

    /** Guards against bytes of another response, or of none, that are passed on as events. */
    @Nested
    class ForeignBytes {

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\n",
                    "Content-Type: text/event-stream\r\n\r\n",
                    "{\"error\":\"no model\"}\n\n",
                    "bad gateway\n\n",
                    "<html>\n<body>\n\n",
                    "data: x\nHTTP/1.1 200 OK\n\n",
                    "\u00ffdata: x\n\n"
                })
        void should_return_the_events_before_them(String foreign) {
            assertThat(append("id: 1\ndata: x\n\n" + foreign)).contains("id: 1\ndata: x\n\n");

            assertThat(stream.hasForeignBytes()).isTrue();
            assertThat(stream.lastIdentifier()).hasValue(1);
        }

        @Test
        void should_return_no_event_when_they_are_all_there_is() {
            assertThat(append("HTTP/1.1 200 OK\r\n\r\n")).isEmpty();
            assertThat(stream.hasForeignBytes()).isTrue();
        }

        @Test
        void should_take_each_field_for_an_event() {
            String events = ": comment\n\nretry: 5\n\nweights: 3\nevent: delta\nid: 2\ndata\ndata:\u00e9\n\n";

            assertThat(append(events)).contains(events);
            assertThat(stream.hasForeignBytes()).isFalse();
        }

        @Test
        void should_be_noticed_at_the_latest_with_the_next_blank_line_when_they_come_in_parts() {
            append("data: x\n\nHTTP/1.1 500 ");
            assertThat(stream.hasForeignBytes()).isFalse();
            assertThat(stream.hasPartialEvent()).isTrue();

            assertThat(append("Error\r\n\r\n")).isEmpty();

            assertThat(stream.hasForeignBytes()).isTrue();
        }
    }

    @Nested
    class Identifiers {

        @Test
        void should_return_the_identifier_of_the_last_complete_event_when_a_later_one_is_partial() {
            append("id: 7\ndata: x\n\nid: 8\ndata: id: 99\n\nid: 9\n");

            assertThat(stream.lastIdentifier()).hasValue(8);
        }

        @Test
        void should_return_no_identifier_when_no_event_has_one() {
            append("data: x\n\n");

            assertThat(stream.lastIdentifier()).isEmpty();
        }
    }

    /** Guards against a response that is passed on as the rest of a stream that it does not go on with. */
    @Nested
    class Continuations {

        private final EventStream continuation =
                new EventStream(UnpooledByteBufAllocator.DEFAULT, FURTHER_FIELDS, Optional.of(3L));

        private boolean passesOn(String text) {
            return continuation
                    .append(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8))
                    .isPresent();
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "data: x\n\n",
                    "data: x\n\nid: 4\ndata: x\n\n",
                    "data: id: 4\r\n\r\nid: 5\r\n\r\n",
                    "id: 3\ndata: x\n\n",
                    "id: 1\ndata: x\n\nid: 4\ndata: y\n\n",
                    "id: four\ndata: x\n\n",
                    "id:\ndata: x\n\n",
                    ": comment\n\n"
                })
        void should_not_go_on_when_the_first_event_does_not_follow_the_last_one(String text) {
            assertThat(passesOn(text)).isFalse();
            assertThat(continuation.goesOn()).isFalse();
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "id: 4\ndata: x\n\n",
                    "id: 7\r\ndata: x\r\n\r\n",
                    "weights: 2\nid: 4\ndata: x\n\n",
                    "id: 4\ndata: x\n\ndata: y\n\n"
                })
        void should_go_on_when_the_first_event_follows_the_last_one(String text) {
            assertThat(passesOn(text)).isTrue();
            assertThat(continuation.goesOn()).isTrue();
        }

        @Test
        void should_check_the_first_event_only_when_it_is_complete() {
            assertThat(passesOn("id: 4\nda")).isFalse();
            assertThat(continuation.goesOn()).isTrue();
            assertThat(passesOn("ta: x\n\n")).isTrue();
        }
    }
}
