package org.pollenhoist.serving.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PrefillRateEstimatorTest {

    private final PrefillRateEstimator pace = new PrefillRateEstimator();

    @Nested
    class Estimate {

        @Test
        void should_follow_the_times_to_the_first_token() {
            for (int count = 0; count < 200; count++) {
                pace.observe("m", 10_000, Duration.ofSeconds(2));
            }

            assertThat(pace.estimate("m", 1_000)).isEqualTo(Duration.ofMillis(200));
        }

        @Test
        void should_ignore_short_queues() {
            pace.observe("m", 100, Duration.ofSeconds(5));

            assertThat(pace.estimate("m", 1_000)).isEqualTo(Duration.ofMillis(50));
        }
    }

    @Nested
    class UnknownModel {

        @Test
        void should_be_taken_to_be_as_fast_as_the_others() {
            for (int count = 0; count < 200; count++) {
                pace.observe("m", 1_000, Duration.ofMillis(20));
            }

            assertThat(pace.estimate("other", 1_000)).isBetween(Duration.ofMillis(20), Duration.ofMillis(22));
        }

        @Test
        void should_be_taken_to_be_slow_before_any_was_observed() {
            assertThat(pace.estimate("other", 1_000)).isEqualTo(Duration.ofMillis(50));
        }
    }

    @Nested
    class Work {

        @Test
        void should_be_that_of_the_quickest_answers_however_crowded_engines_are() {
            for (int count = 0; count < 50; count++) {
                pace.observe("m", 1_000, Duration.ofMillis(count % 5 == 0 ? 20 : 400));
            }

            assertThat(pace.uncontendedMicroseconds("m", 1_000)).isBetween(15_000L, 80_000L);
        }

        @Test
        void should_not_be_taken_from_one_slow_answer() {
            pace.observe("m", 1_000, Duration.ofSeconds(2));

            assertThat(pace.uncontendedMicroseconds("m", 1_000)).isLessThan(100_000);
        }
    }
}
