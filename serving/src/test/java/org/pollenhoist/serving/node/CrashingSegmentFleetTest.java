package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Plays a prompt segment that crashes upstreams against simulated fleets with unreliable links and restarting VMs. */
class CrashingSegmentFleetTest {

    private static final int MAXIMUM_REQUESTS_AFTER_FIFTH_CRASH = 3;

    /** Sound requests must begin at least half as often as at other times, when all of them do. */
    private static final double MINIMUM_SHARE_BEGUN = 0.5;

    private record Scenario(int vms, int domains, int upstreams, int requestsPerSecond, double share, long seed) {

        private CrashingSegmentFleet fleet() {
            return new CrashingSegmentFleet(vms, domains, upstreams, seed);
        }

        @Override
        public String toString() {
            return vms + " VMs, share " + share + ", seed " + seed;
        }
    }

    private static Stream<Arguments> scenarios() {
        Stream<Scenario> small = Stream.of(0.002, 0.04, 0.5)
                .flatMap(share -> Stream.of(1L, 2L, 3L, 4L).map(seed -> new Scenario(9, 3, 13, 50, share, seed)));
        Stream<Scenario> large = Stream.of(0.04, 0.5).map(share -> new Scenario(95, 5, 56, 250, share, 1));
        return Stream.concat(small, large).map(Arguments::of);
    }

    private static void assertBounded(CrashingSegmentFleet fleet, Scenario scenario) {
        System.out.println("crashing_segment_fleet scenario=\"" + scenario + "\" crashes=" + fleet.crashCount()
                + " requests_after_fifth=" + fleet.countRequestsAfterFifthCrash() + " convicted=" + fleet.convicted());
        assertThat(fleet.countRequestsAfterFifthCrash())
                .as("requests with the segment later than 3 s after the fifth crash")
                .isLessThanOrEqualTo(MAXIMUM_REQUESTS_AFTER_FIFTH_CRASH);
    }

    @Nested
    class UnreliableLinks {

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.node.CrashingSegmentFleetTest#scenarios")
        void should_bound_the_requests_when_digests_are_lost_doubled_and_delayed(Scenario scenario) {
            CrashingSegmentFleet fleet = scenario.fleet();
            fleet.exchange().degradeLinks(0.2, 0.2, 80);
            fleet.send(scenario.requestsPerSecond(), 0, 2_000);
            fleet.send(scenario.requestsPerSecond(), scenario.share(), 20_000);
            long settled = fleet.now();
            fleet.send(scenario.requestsPerSecond(), scenario.share(), 5_000);

            assertBounded(fleet, scenario);
            assertThat(fleet.shareOfSoundRequestsBegun(settled)).isGreaterThan(MINIMUM_SHARE_BEGUN);
        }
    }

    @Nested
    class Restarts {

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.node.CrashingSegmentFleetTest#scenarios")
        void should_bound_the_requests_when_vms_are_killed_in_turn(Scenario scenario) {
            CrashingSegmentFleet fleet = scenario.fleet();
            fleet.send(scenario.requestsPerSecond(), 0, 2_000);
            for (int round = 0; round < 20; round++) {
                for (int vm = 0; vm < Math.max(1, scenario.vms() / 20); vm++) {
                    fleet.restart((round * 7 + vm) % scenario.vms(), 300);
                }
                fleet.send(scenario.requestsPerSecond(), scenario.share(), 1_000);
            }

            assertBounded(fleet, scenario);
        }

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.node.CrashingSegmentFleetTest#scenarios")
        void should_bound_the_requests_when_all_vms_are_killed_at_once_after_the_verdict(Scenario scenario) {
            CrashingSegmentFleet fleet = scenario.fleet();
            fleet.send(scenario.requestsPerSecond(), 0, 2_000);
            fleet.send(scenario.requestsPerSecond(), scenario.share(), 15_000);
            for (int round = 0; round < 2; round++) {
                for (int vm = 0; vm < scenario.vms(); vm++) {
                    fleet.restart(vm, 500);
                }
                fleet.send(scenario.requestsPerSecond(), scenario.share(), 8_000);
            }

            assertBounded(fleet, scenario);
        }
    }

    @Nested
    class Partitions {

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.node.CrashingSegmentFleetTest#scenarios")
        void should_bound_the_requests_when_a_failure_domain_was_cut_off_during_the_verdict(Scenario scenario) {
            CrashingSegmentFleet fleet = scenario.fleet();
            fleet.send(scenario.requestsPerSecond(), 0, 2_000);
            fleet.exchange().partition(Set.of("domain-0"));
            fleet.send(scenario.requestsPerSecond(), scenario.share(), 6_000);
            fleet.exchange().partition(Set.of());
            fleet.send(scenario.requestsPerSecond(), 0, CrashingSegmentFleet.PROPAGATION_MILLISECONDS);
            long healed = fleet.now();
            fleet.send(scenario.requestsPerSecond(), scenario.share(), 15_000);

            assertThat(fleet.countRequestsSince(healed))
                    .as("requests with the segment later than 3 s after the partition")
                    .isLessThanOrEqualTo(MAXIMUM_REQUESTS_AFTER_FIFTH_CRASH);
            assertThat(fleet.convicted()).doesNotContain("first");
        }
    }

    @Nested
    class LargeLoss {

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.node.CrashingSegmentFleetTest#scenarios")
        void should_convict_no_segment_when_a_quarter_of_the_upstreams_is_lost_at_once(Scenario scenario) {
            CrashingSegmentFleet fleet = scenario.fleet();
            fleet.send(scenario.requestsPerSecond(), 0, 2_000);
            for (int round = 0; round < 4; round++) {
                fleet.loseQuarterOfUpstreams();
                fleet.send(scenario.requestsPerSecond(), 0, 2_000);
                assertThat(fleet.convicted()).isEmpty();
            }
            long settled = fleet.now();
            fleet.send(scenario.requestsPerSecond(), 0, 5_000);

            assertThat(fleet.convicted()).isEmpty();
            assertThat(fleet.shareOfSoundRequestsBegun(settled)).isGreaterThan(0.99);
        }
    }

    @Nested
    class Cost {

        /** The budget of a node for control, of which digests are a part. */
        private static final long MAXIMUM_BYTES_PER_SECOND = 16 * 1_024;

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.node.CrashingSegmentFleetTest#scenarios")
        void should_stay_within_the_budget_of_a_node_while_upstreams_crash(Scenario scenario) {
            CrashingSegmentFleet fleet = scenario.fleet();
            fleet.send(scenario.requestsPerSecond(), 0, 10_000);
            long before = fleet.bytesSentPerVm();
            fleet.send(scenario.requestsPerSecond(), scenario.share(), 10_000);
            long during = fleet.bytesSentPerVm() - before;

            System.out.println("crashing_segment_cost scenario=\"" + scenario + "\" crashes=" + fleet.crashCount()
                    + " bytes_per_second_before=" + before / 10 + " during=" + during / 10);
            assertThat(during / 10).isLessThanOrEqualTo(MAXIMUM_BYTES_PER_SECOND);
        }
    }
}
