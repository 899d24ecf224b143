package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Plays an upstream that names the rate it accepts against simulated fleets with unreliable links and restarts. */
class RateLimitedFleetTest {

    private static final long WINDOW_MILLISECONDS = 4_000;

    private record Scenario(int vms, int domains, double limitPerSecond, int requestsPerSecond, long seed) {

        private RateLimitedFleet fleet() {
            RateLimitedFleet fleet = new RateLimitedFleet(vms, domains, seed);
            fleet.exchange().run(2_000);
            return fleet;
        }

        /** One and a half times what the limit allows in a window, and five requests. */
        private long maximumInWindow() {
            return (long) (1.5 * limitPerSecond * WINDOW_MILLISECONDS / 1_000 + 5);
        }

        @Override
        public String toString() {
            return vms + " VMs, limit " + limitPerSecond + ", demand " + requestsPerSecond + ", seed " + seed;
        }
    }

    private static Stream<Arguments> scenarios() {
        return Stream.of(0.0, 0.3, 1.0, 1.7, 20.0)
                .flatMap(limit -> Stream.of(
                        new Scenario(9, 3, limit, 60, 1),
                        new Scenario(9, 3, limit, 10, 2),
                        new Scenario(95, 5, limit, 300, 3)))
                .map(Arguments::of);
    }

    private static void assertBounded(RateLimitedFleet fleet, Scenario scenario, long boundFrom) {
        long most = fleet.mostFromToldVms(boundFrom, WINDOW_MILLISECONDS);
        System.out.println("rate_limited_fleet scenario=\"" + scenario + "\" most=" + most + " allowed="
                + scenario.maximumInWindow() + " per_second="
                + fleet.countSince(boundFrom) * 1_000 / Math.max(1, fleet.now() - boundFrom));
        assertThat(most)
                .as("requests in 4 s from VMs that had been told")
                .isLessThanOrEqualTo(scenario.maximumInWindow());
    }

    private static long begin(RateLimitedFleet fleet, Scenario scenario) {
        fleet.send(scenario.requestsPerSecond(), 2_000);
        fleet.setLimit(Optional.of(scenario.limitPerSecond()));
        fleet.send(scenario.requestsPerSecond(), RateLimitedFleet.PROPAGATION_MILLISECONDS);
        return fleet.now();
    }

    @Nested
    class Sum {

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.node.RateLimitedFleetTest#scenarios")
        void should_stay_within_the_limit_and_use_half_of_it_when_links_are_reliable(Scenario scenario) {
            RateLimitedFleet fleet = scenario.fleet();
            long boundFrom = begin(fleet, scenario);
            fleet.send(scenario.requestsPerSecond(), 20_000);

            assertBounded(fleet, scenario, boundFrom);
            double used = fleet.countSince(boundFrom) / 20.0;
            double usable = Math.min(scenario.limitPerSecond(), scenario.requestsPerSecond() / 2.0);
            assertThat(used).isGreaterThanOrEqualTo(usable / 2);
        }

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.node.RateLimitedFleetTest#scenarios")
        void should_stay_within_the_limit_when_digests_are_lost_doubled_and_delayed(Scenario scenario) {
            RateLimitedFleet fleet = scenario.fleet();
            fleet.exchange().degradeLinks(0.2, 0.2, 80);
            long boundFrom = begin(fleet, scenario);
            fleet.send(scenario.requestsPerSecond(), 20_000);

            assertBounded(fleet, scenario, boundFrom);
        }

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.node.RateLimitedFleetTest#scenarios")
        void should_stay_within_the_limit_when_vms_are_killed_in_turn(Scenario scenario) {
            RateLimitedFleet fleet = scenario.fleet();
            long boundFrom = begin(fleet, scenario);
            for (int round = 0; round < 20; round++) {
                fleet.exchange().restart(round * 7 % scenario.vms(), 300);
                fleet.send(scenario.requestsPerSecond(), 1_000);
            }

            assertBounded(fleet, scenario, boundFrom);
        }
    }

    @Nested
    class End {

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.node.RateLimitedFleetTest#scenarios")
        void should_be_known_to_all_vms_soon_after_the_upstream_names_no_limit(Scenario scenario) {
            RateLimitedFleet fleet = scenario.fleet();
            begin(fleet, scenario);
            fleet.send(scenario.requestsPerSecond(), 5_000);

            fleet.setLimit(Optional.empty());
            fleet.send(scenario.requestsPerSecond(), scenario.limitPerSecond() < 0.2 ? 40_000 : 10_000);
            long ended = fleet.now();
            fleet.send(scenario.requestsPerSecond(), 5_000);

            assertThat(fleet.countSince(ended)).isEqualTo(scenario.requestsPerSecond() * 5L);
        }
    }
}
