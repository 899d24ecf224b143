package org.pollenhoist.serving.segment;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.serving.request.PromptSegment;

class SegmentKeyTest {

    private static List<SegmentKey> sharedBy(String... identifiers) {
        return SegmentKey.sharedBy(
                "engines",
                List.of(identifiers).stream()
                        .map(identifier -> new PromptSegment(identifier, 10))
                        .toList());
    }

    @Nested
    class SharedBy {

        @Test
        void should_leave_out_the_last_segment() {
            assertThat(sharedBy("a", "b", "c"))
                    .containsExactly(new SegmentKey("engines", "a"), new SegmentKey("engines", "b"));
        }

        @Test
        void should_be_empty_without_a_shared_segment() {
            assertThat(sharedBy()).isEmpty();
            assertThat(sharedBy("a")).isEmpty();
        }

        @Test
        void should_replace_a_long_identifier_by_its_digest() {
            assertThat(sharedBy("a".repeat(10_000), "b").get(0).segment()).hasSize(32);
            assertThat(sharedBy("a".repeat(10_000), "b")).isNotEqualTo(sharedBy("a".repeat(10_001), "b"));
        }

        @Test
        void should_track_a_bounded_number_of_segments() {
            String[] identifiers =
                    IntStream.range(0, 1_000).mapToObj(Integer::toString).toArray(String[]::new);

            assertThat(sharedBy(identifiers)).hasSize(16);
        }
    }
}
