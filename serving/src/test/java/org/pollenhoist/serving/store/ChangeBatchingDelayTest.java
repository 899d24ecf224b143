package org.pollenhoist.serving.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ChangeBatchingDelayTest {

    private static final Duration BOUND = Duration.ofSeconds(4);

    @Nested
    class Growth {

        @ParameterizedTest
        @CsvSource({"1, 150", "9, 150", "18, 300", "36, 600"})
        void should_follow_the_size_of_the_fleet(int fleetSize, long milliseconds) {
            assertThat(ChangeBatchingDelay.of(fleetSize, BOUND)).isEqualTo(Duration.ofMillis(milliseconds));
        }

        @Test
        void should_leave_most_of_the_bound_to_what_comes_after_it() {
            assertThat(ChangeBatchingDelay.of(330, BOUND)).isEqualTo(Duration.ofSeconds(1));
        }

        @Test
        void should_not_be_cut_below_that_of_a_small_fleet_by_a_short_bound() {
            assertThat(ChangeBatchingDelay.of(95, Duration.ofMillis(200))).isEqualTo(ChangeBatchingDelay.SHORTEST);
        }
    }
}
