package org.pollenhoist.serving.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PrefillRateEstimatorTest {

    private final PrefillRateEstimator estimator = new PrefillRateEstimator();

    @Nested
    class Estimate {

        @Test
        void should_follow_the_observed_times_to_first_token() {
            for (int count = 0; count < 200; count++) {
                estimator.observe("m", 10_000, Duration.ofSeconds(2));
            }

            assertThat(estimator.estimate("m", 1_000)).isEqualTo(Duration.ofMillis(200));
        }

        @Test
        void should_ignore_short_queues() {
            estimator.observe("m", 100, Duration.ofSeconds(5));

            assertThat(estimator.estimate("m", 1_000)).isEqualTo(Duration.ofMillis(50));
        }
    }

    @Nested
    class UnknownModel {

        @Test
        void should_be_estimated_from_the_average_of_other_models() {
            for (int count = 0; count < 200; count++) {
                estimator.observe("m", 1_000, Duration.ofMillis(20));
            }

            assertThat(estimator.estimate("other", 1_000)).isBetween(Duration.ofMillis(20), Duration.ofMillis(22));
        }

        @Test
        void should_be_estimated_from_the_initial_value_before_any_observation() {
            assertThat(estimator.estimate("other", 1_000)).isEqualTo(Duration.ofMillis(50));
        }
    }

    @Nested
    class Uncontended {

        @Test
        void should_follow_the_fastest_responses_when_engines_are_contended() {
            for (int count = 0; count < 50; count++) {
                estimator.observe("m", 1_000, Duration.ofMillis(count % 5 == 0 ? 20 : 400));
            }

            assertThat(estimator.uncontendedMicroseconds("m", 1_000)).isBetween(15_000L, 80_000L);
        }

        @Test
        void should_not_be_dominated_by_a_single_slow_response() {
            estimator.observe("m", 1_000, Duration.ofSeconds(2));

            assertThat(estimator.uncontendedMicroseconds("m", 1_000)).isLessThan(100_000);
        }
    }
}
