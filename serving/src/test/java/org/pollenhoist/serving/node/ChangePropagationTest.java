package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.EnumSource.Mode.INCLUDE;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against VMs that handle requests by an old configuration long after the store has confirmed a newer one. */
class ChangePropagationTest {

    private static final long SEED = 1;

    private static void assertInForceWithin(
            Duration bound, Duration stablePeriod, int vms, int domains, StoreTrouble trouble, int changes) {
        assertInForceWithin(bound, stablePeriod, new StoreFleet(vms, domains, bound, SEED), trouble, changes);
    }

    private static void assertInForceWithin(
            Duration bound, Duration stablePeriod, StoreFleet fleet, StoreTrouble trouble, int changes) {
        ChangePropagation.Distribution measured =
                new ChangePropagation(fleet, stablePeriod, SEED).measure(trouble, changes);

        assertThat(measured.longest()).as(measured.toString()).isLessThanOrEqualTo(bound);
    }

    @Nested
    class FleetOf9 {

        @ParameterizedTest
        @EnumSource
        void should_have_a_change_in_force_everywhere_within_2_seconds(StoreTrouble trouble) {
            assertInForceWithin(Duration.ofSeconds(2), Duration.ofSeconds(3), 9, 3, trouble, 60);
        }
    }

    @Nested
    class FleetOf85 {

        @ParameterizedTest
        @EnumSource
        void should_have_a_change_in_force_everywhere_within_3_seconds(StoreTrouble trouble) {
            assertInForceWithin(Duration.ofSeconds(3), Duration.ofSeconds(4), 85, 5, trouble, 2);
        }
    }

    @Nested
    class FleetOf330 {

        @ParameterizedTest
        @EnumSource(
                mode = INCLUDE,
                names = {"UNANSWERED_IN_TURN", "DRILL"})
        void should_have_a_change_in_force_everywhere_within_3_seconds(StoreTrouble trouble) {
            assertInForceWithin(Duration.ofSeconds(3), Duration.ofSeconds(4), 330, 16, trouble, 1);
        }
    }

    @Nested
    class FleetOf59WithLateEventLoops {

        private static final Duration LOOK_INTERVAL = Duration.ofMillis(300);

        @ParameterizedTest
        @EnumSource(
                mode = INCLUDE,
                names = {"CALM", "REJECTED", "UNANSWERED", "LOST_RESPONSES"})
        void should_have_a_change_in_force_everywhere_within_3_seconds(StoreTrouble trouble) {
            Duration bound = Duration.ofSeconds(3);
            StoreFleet fleet = new StoreFleet(59, 3, bound, SEED);
            fleet.lookEvery(LOOK_INTERVAL);

            assertInForceWithin(bound, Duration.ofSeconds(4), fleet, trouble, 4);
        }
    }
}
