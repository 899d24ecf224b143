package org.pollenhoist.experiments.serving;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.slf4j.LoggerFactory;

/**
 * Heavy days, played with the deciding classes of the serving process. Engines throw where they are ordered beyond
 * their memory or places, so that every day played here shows that too.
 */
class FleetSimulationTest {

    private static final Duration LENGTH = Duration.ofSeconds(41);
    private static final int SEEDS = 4;

    /** The users' bound on loads from the weight store, over a window of five seconds. */
    private static final long LOAD_WINDOW_MILLISECONDS = 5_000;

    private static final double LOAD_OVERRUN = 1.1;
    private static final double LOAD_ALLOWANCE = 3;

    /** The users' bound below which a kind of request counts as starved, against all requests. */
    private static final double STARVED_PART = 0.25;

    /** What the users allow one kind of request to fall behind another. */
    private static final double FAIR_DISTANCE = 0.15;

    /** Load at which more comes than engines read. */
    private static final double OVERLOAD = 2.5;

    @BeforeAll
    static void quieten() {
        ((Logger) LoggerFactory.getLogger("pollenhoist")).setLevel(Level.WARN);
    }

    static Stream<HeavyDay> days() {
        return Stream.of(
                HeavyDay.slowStore(1, List.of()),
                HeavyDay.slowStore(1, HeavyDay.commonFaults()),
                HeavyDay.fastStore(1, List.of()),
                HeavyDay.fastStore(1, HeavyDay.commonFaults()),
                HeavyDay.longPrompts(1, List.of()),
                HeavyDay.longPrompts(OVERLOAD, HeavyDay.commonFaults()));
    }

    private static List<DayResult> play(HeavyDay day) {
        return LongStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> new FleetSimulation(day, seed).play(LENGTH))
                .toList();
    }

    private static double attainment(HeavyDay day) {
        return play(day).stream().mapToDouble(DayResult::attainment).average().orElseThrow();
    }

    @Nested
    class Rules {

        @ParameterizedTest
        @MethodSource("org.pollenhoist.experiments.serving.FleetSimulationTest#days")
        void should_keep_to_the_weight_stores_rate_in_every_window(HeavyDay day) {
            double limit = day.storeLoadsPerSecond() * LOAD_WINDOW_MILLISECONDS / 1_000 * LOAD_OVERRUN + LOAD_ALLOWANCE;

            assertThat(play(day))
                    .allSatisfy(result -> assertThat((double) result.mostLoadsWithin(LOAD_WINDOW_MILLISECONDS))
                            .isLessThanOrEqualTo(limit));
        }

        @ParameterizedTest
        @MethodSource("org.pollenhoist.experiments.serving.FleetSimulationTest#days")
        void should_starve_no_model_and_no_class(HeavyDay day) {
            assertThat(play(day)).allSatisfy(result -> {
                assertThat(result.neverServed()).hasSizeLessThanOrEqualTo(1);
                assertThat(result.attainmentByClass().values())
                        .allSatisfy(part -> assertThat(part).isGreaterThan(STARVED_PART * result.attainment()));
            });
        }
    }

    @Nested
    class LongPrompts {

        private final List<DayResult> results = play(HeavyDay.longPrompts(OVERLOAD, HeavyDay.commonFaults()));

        private double mean(Function<DayResult, Map<String, Double>> parts, String kind) {
            return results.stream()
                    .mapToDouble(result -> parts.apply(result).get(kind))
                    .average()
                    .orElseThrow();
        }

        @ParameterizedTest
        @ValueSource(strings = {"digest", "compare", "helper"})
        void should_be_served_as_often_as_the_rest_of_their_kind(String kind) {
            assertThat(mean(DayResult::servedOfLargest, kind))
                    .isGreaterThan(mean(DayResult::servedByClass, kind) - FAIR_DISTANCE);
        }

        @Test
        void should_leave_no_kind_far_behind_the_others() {
            List<Double> served = Stream.of("digest", "compare", "helper")
                    .map(kind -> mean(DayResult::servedByClass, kind))
                    .toList();
            double mean =
                    served.stream().mapToDouble(Double::doubleValue).average().orElseThrow();

            assertThat(served).allSatisfy(part -> assertThat(part).isGreaterThan(mean - FAIR_DISTANCE));
        }
    }

    @Nested
    class Placement {

        @ParameterizedTest
        @MethodSource("org.pollenhoist.experiments.serving.FleetSimulationTest#days")
        void should_serve_more_than_a_placement_that_never_changes(HeavyDay day) {
            assertThat(attainment(day)).isGreaterThan(attainment(day.withFixedPlacement(LENGTH)));
        }
    }

    @Nested
    class Reproduction {

        @Test
        void should_give_the_same_result_for_the_same_seed() {
            HeavyDay day = HeavyDay.slowStore(1, HeavyDay.commonFaults());

            assertThat(new FleetSimulation(day, 7).play(LENGTH)).isEqualTo(new FleetSimulation(day, 7).play(LENGTH));
        }
    }
}
