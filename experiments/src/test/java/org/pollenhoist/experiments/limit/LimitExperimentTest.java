package org.pollenhoist.experiments.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollenhoist.experiments.limit.LimitExperiment.Scenario;

class LimitExperimentTest {

    private static final FleetShape NINE_IN_THREE = FleetShape.of(9, 3);
    private static final FleetShape THREE_IN_ONE = FleetShape.of(3, 1);
    private static final FleetShape EIGHT_IN_FOUR = FleetShape.of(8, 4);

    /** A part of the burst: rounding of floating-point sums. */
    private static final double ROUNDING = 1e-6;

    @Nested
    class Faults {

        @Test
        void should_keep_burst_and_rate_over_every_interval_when_everything_fails_often() {
            for (long seed = 1; seed <= 8; seed++) {
                LimitResult result = LimitExperiment.of(Scenario.FAULTS, seed % 2 == 0 ? NINE_IN_THREE : EIGHT_IN_FOUR)
                        .run(seed, Duration.ofMinutes(10));
                assertThat(result.largestExcess()).as("seed %d", seed).isLessThan(ROUNDING);
            }
        }

        @ParameterizedTest
        @CsvSource({
            "TOKENS_ADDED_TWICE, FAULTS",
            "LENDER_NOT_DEBITED, FAULTS",
            "REFILL_AT_RESTART, KILLS",
            "NO_QUARANTINE, KILLS",
            "NO_QUARANTINE, STOPS",
            "LEASE_NOT_CHECKED, PAUSES"
        })
        void should_be_found_when_a_mechanism_is_missing(Mutant mutant, Scenario scenario) {
            assertThat(largestExcess(Mutant.NONE, scenario)).isLessThan(ROUNDING);
            assertThat(largestExcess(mutant, scenario)).isGreaterThan(ROUNDING);
        }

        private static double largestExcess(Mutant mutant, Scenario scenario) {
            double largest = Double.NEGATIVE_INFINITY;
            for (long seed = 1; seed <= 3; seed++) {
                LimitResult result =
                        LimitExperiment.of(scenario, THREE_IN_ONE).with(mutant).run(seed, Duration.ofMinutes(7));
                largest = Math.max(largest, result.largestExcess());
            }
            return largest;
        }
    }

    @Nested
    class WrongfulRefusals {

        @Tag("known-red")
        @Test
        void should_not_occur_when_demand_is_steady_wherever_it_lands() {
            LimitResult result =
                    LimitExperiment.of(Scenario.STEADY, NINE_IN_THREE).run(1, Duration.ofMinutes(10));
            assertThat(result.wrongful()).isZero();
            assertThat(result.largestExcess()).isLessThan(ROUNDING);
        }

        @Test
        void should_be_fewer_than_one_in_a_thousand_when_demand_moves() {
            LimitResult result =
                    LimitExperiment.of(Scenario.MOVING, NINE_IN_THREE).run(1, Duration.ofMinutes(20));
            assertThat(result.wrongfulPart()).isLessThan(0.001);
        }

        @Test
        void should_be_fewer_than_one_in_a_hundred_when_the_platform_is_down_for_ten_minutes() {
            LimitResult result =
                    LimitExperiment.of(Scenario.PLATFORM_OUTAGE, EIGHT_IN_FOUR).run(1, Duration.ofMinutes(20));
            assertThat(result.wrongfulPart()).isLessThan(0.01);
        }
    }

    @Nested
    class GreedyTeam {

        @Test
        void should_leave_the_others_what_they_get_without_it() {
            LimitResult without = LimitExperiment.of(Scenario.WITHOUT_GREEDY_TEAM, NINE_IN_THREE)
                    .run(1, Duration.ofMinutes(5));
            LimitResult with =
                    LimitExperiment.of(Scenario.GREEDY_TEAM, NINE_IN_THREE).run(1, Duration.ofMinutes(5));

            without.usedTokens().forEach((team, tokens) -> {
                if (!team.equals(TeamDemands.GREEDY)) {
                    assertThat(with.usedTokens().get(team)).as(team.value()).isGreaterThan(0.99 * tokens);
                }
            });
        }
    }
}
