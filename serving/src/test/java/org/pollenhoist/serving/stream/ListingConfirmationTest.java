package org.pollenhoist.serving.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;

class ListingConfirmationTest {

    private static final MonotonicTime START = MonotonicTime.of(Duration.ofSeconds(100));

    private Optional<MonotonicTime> mirrorKnownAsOf = Optional.empty();
    private final ListingConfirmation confirmation = new ListingConfirmation(() -> mirrorKnownAsOf);

    private static MonotonicTime after(long milliseconds) {
        return START.plus(Duration.ofMillis(milliseconds));
    }

    @Nested
    class Age {

        @Test
        void should_be_unknown_when_the_store_was_never_read() {
            assertThat(confirmation.age(START)).isEmpty();
        }

        @Test
        void should_be_unknown_when_a_version_listed_since_may_be_in_use() {
            mirrorKnownAsOf = Optional.of(START);

            assertThat(confirmation.age(after(2_499))).contains(Duration.ofMillis(2_499));
            assertThat(confirmation.age(after(2_500))).isEmpty();
        }

        @Test
        void should_count_from_the_sending_of_a_reading_that_took_long() {
            confirmation.startReading(START);
            confirmation.endReading(START, true);

            assertThat(confirmation.age(after(1_000))).contains(Duration.ofSeconds(1));
            assertThat(confirmation.age(after(2_500))).isEmpty();
        }

        @Test
        void should_be_unknown_when_the_store_holds_other_listings() {
            confirmation.startReading(START);
            confirmation.endReading(START, false);

            assertThat(confirmation.age(START)).isEmpty();
        }
    }

    @Nested
    class Reading {

        @Test
        void should_be_sent_once_a_second_at_most() {
            assertThat(confirmation.startReading(START)).isTrue();
            assertThat(confirmation.startReading(after(1))).isFalse();
            confirmation.endReading(START, false);

            assertThat(confirmation.startReading(after(999))).isFalse();
            assertThat(confirmation.startReading(after(1_000))).isTrue();
        }

        @Test
        void should_not_be_waited_for_when_the_store_does_not_respond() {
            confirmation.startReading(START);

            assertThat(confirmation.isReading(after(399))).isTrue();
            assertThat(confirmation.isReading(after(400))).isFalse();
        }
    }
}
