package org.pollenhoist.serving.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ChangeBatchingDelayTest {

    private static final Duration PROPAGATION_BOUND = Duration.ofSeconds(4);

    @Nested
    class FleetSize {

        @ParameterizedTest
        @CsvSource({"1, 150", "9, 150", "18, 300", "36, 600"})
        void should_lengthen_the_delay_when_the_fleet_is_large(int fleetSize, long milliseconds) {
            assertThat(ChangeBatchingDelay.of(fleetSize, PROPAGATION_BOUND)).isEqualTo(Duration.ofMillis(milliseconds));
        }

        @Test
        void should_not_exceed_a_quarter_of_the_bound_when_the_fleet_is_very_large() {
            assertThat(ChangeBatchingDelay.of(330, PROPAGATION_BOUND)).isEqualTo(Duration.ofSeconds(1));
        }

        @Test
        void should_not_fall_below_the_minimum_when_the_bound_is_short() {
            assertThat(ChangeBatchingDelay.of(95, Duration.ofMillis(200))).isEqualTo(ChangeBatchingDelay.MINIMUM);
        }
    }
}
