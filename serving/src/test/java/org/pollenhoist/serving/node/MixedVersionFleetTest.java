package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Plays streams that are resumed while upstreams of two versions serve, with unreliable links and restarts of VMs. */
class MixedVersionFleetTest {

    private static final String OLD = "v1";
    private static final String NEW = "v1.1";

    /** The rule asks that resumed streams go on at least half as often as new ones begin, and here all begin. */
    private static final double MINIMUM_SHARE = 0.5;

    private record Fleet(int vms, int domains, int streamsPerSecond, long seed) {

        private MixedVersionFleet start(String... versions) {
            return new MixedVersionFleet(vms, domains, seed, versions);
        }

        @Override
        public String toString() {
            return vms + " VMs, seed " + seed;
        }
    }

    private static Stream<Arguments> fleets() {
        return Stream.of(
                        new Fleet(9, 4, 40, 1),
                        new Fleet(9, 4, 40, 2),
                        new Fleet(9, 3, 10, 3),
                        new Fleet(95, 5, 200, 4))
                .map(Arguments::of);
    }

    /** VMs of both kinds: in the fleet of 95, the first two of each domain watch the store and the others don't. */
    private static Stream<Arguments> outOfStepVms() {
        Fleet small = new Fleet(9, 4, 40, 5);
        Fleet large = new Fleet(95, 5, 100, 6);
        return Stream.of(
                Arguments.of(small, 0), Arguments.of(small, 8), Arguments.of(large, 0), Arguments.of(large, 90));
    }

    private static void assertNoneJoined(String scenario, Fleet played, MixedVersionFleet fleet) {
        System.out.println(
                "mixed_version_fleet scenario=\"" + scenario + "\" fleet=\"" + played + "\" " + fleet.resumed());
        assertThat(fleet.resumed().joined())
                .as("streams joined from two versions")
                .isZero();
    }

    private static void assertShareGoesOn(MixedVersionFleet fleet) {
        assertThat(fleet.resumed().goneOn())
                .as("resumed streams that go on, of %s", fleet.resumed())
                .isGreaterThanOrEqualTo(
                        (int) Math.ceil(MINIMUM_SHARE * fleet.resumed().all()));
    }

    @Nested
    class Resumed {

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.node.MixedVersionFleetTest#fleets")
        void should_go_on_when_datagrams_are_lost_doubled_and_delayed(Fleet played) {
            MixedVersionFleet fleet = played.start(OLD, NEW);
            fleet.exchange().degradeLinks(0.2, 0.2, 80);

            fleet.send(played.streamsPerSecond(), 0.3, 10_000);
            fleet.exchange().run(3_000);

            assertNoneJoined("lossy", played, fleet);
            assertShareGoesOn(fleet);
        }

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.node.MixedVersionFleetTest#fleets")
        void should_go_on_when_vms_are_killed_in_turn(Fleet played) {
            MixedVersionFleet fleet = played.start(OLD, NEW);
            for (int vm = 0; vm < played.vms(); vm += 2) {
                int killed = vm;
                fleet.exchange().after(400L * vm / 2, () -> fleet.kill(killed, 600));
            }

            fleet.send(played.streamsPerSecond(), 0, 10_000);
            fleet.exchange().run(3_000);

            assertNoneJoined("kills", played, fleet);
            assertShareGoesOn(fleet);
        }

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.node.MixedVersionFleetTest#fleets")
        void should_go_on_at_the_only_version_when_all_vms_are_killed(Fleet played) {
            MixedVersionFleet fleet = played.start(OLD);
            fleet.exchange().after(4_000, () -> fleet.killAll(1_000));

            fleet.send(played.streamsPerSecond(), 0, 8_000);
            fleet.exchange().run(3_000);

            assertNoneJoined("all killed, one version", played, fleet);
            assertShareGoesOn(fleet);
        }
    }

    @Nested
    class Joined {

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.node.MixedVersionFleetTest#fleets")
        void should_not_occur_when_all_vms_are_killed(Fleet played) {
            MixedVersionFleet fleet = played.start(OLD, NEW);
            fleet.exchange().after(4_000, () -> fleet.killAll(1_000));

            fleet.send(played.streamsPerSecond(), 0.1, 8_000);
            fleet.exchange().run(3_000);

            assertNoneJoined("all killed", played, fleet);
        }

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.node.MixedVersionFleetTest#fleets")
        void should_not_occur_when_all_vms_are_killed_at_any_time_around_a_new_version(Fleet played) {
            for (long killedAt = 0; killedAt < 8_000; killedAt += 700) {
                MixedVersionFleet fleet = played.start(OLD);
                fleet.exchange().after(2_000, () -> fleet.addVersion(NEW));
                fleet.exchange().after(1_500 + killedAt, () -> fleet.killAll(1_000));

                fleet.send(played.streamsPerSecond(), 0.05, 11_000);
                fleet.exchange().run(3_000);

                assertNoneJoined("new version, killed at " + killedAt, played, fleet);
                assertThat(fleet.countBegunAt(NEW)).isPositive();
            }
        }

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.node.MixedVersionFleetTest#fleets")
        void should_not_occur_when_the_old_version_leaves_and_all_vms_are_killed(Fleet played) {
            MixedVersionFleet fleet = played.start(OLD, NEW);
            fleet.exchange().after(4_000, () -> fleet.removeVersion(OLD));
            fleet.exchange().after(4_200, () -> fleet.killAll(1_000));

            fleet.send(played.streamsPerSecond(), 0.1, 8_000);
            fleet.exchange().run(3_000);

            assertNoneJoined("old version left", played, fleet);
        }

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.node.MixedVersionFleetTest#outOfStepVms")
        void should_not_occur_at_a_vm_that_stands_still_while_a_version_comes(Fleet played, int vm) {
            for (long frozenAt = 1_000; frozenAt < 4_000; frozenAt += 500) {
                MixedVersionFleet fleet = played.start(OLD);
                fleet.favour(vm);
                fleet.exchange().after(2_000, () -> fleet.addVersion(NEW));
                fleet.exchange()
                        .after(frozenAt, () -> fleet.exchange().vms.get(vm).freeze());
                fleet.exchange()
                        .after(
                                frozenAt + 6_000,
                                () -> fleet.exchange().vms.get(vm).thaw());

                fleet.send(played.streamsPerSecond(), 0.5, 11_000);
                fleet.exchange().run(3_000);

                assertNoneJoined("VM " + vm + " stands still from " + frozenAt, played, fleet);
                assertThat(fleet.countBegunAt(NEW)).isPositive();
            }
        }

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.node.MixedVersionFleetTest#outOfStepVms")
        void should_not_occur_at_a_vm_that_is_cut_off_while_a_version_comes(Fleet played, int vm) {
            for (long cutAt = 1_000; cutAt < 4_000; cutAt += 500) {
                MixedVersionFleet fleet = played.start(OLD);
                fleet.favour(vm);
                fleet.exchange().after(2_000, () -> fleet.addVersion(NEW));
                fleet.exchange()
                        .after(cutAt, () -> setCutOff(fleet.exchange().vms.get(vm), true));
                fleet.exchange()
                        .after(
                                cutAt + 6_000,
                                () -> setCutOff(fleet.exchange().vms.get(vm), false));

                fleet.send(played.streamsPerSecond(), 0.5, 11_000);
                fleet.exchange().run(3_000);

                assertNoneJoined("VM " + vm + " cut off from " + cutAt, played, fleet);
                assertThat(fleet.countBegunAt(NEW)).isPositive();
            }
        }

        private void setCutOff(SimulatedExchange.Vm vm, boolean isCutOff) {
            vm.isCutFromPeers = isCutOff;
            vm.isCutFromStore = isCutOff;
        }

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.node.MixedVersionFleetTest#fleets")
        void should_not_occur_when_a_failure_domain_is_partitioned(Fleet played) {
            MixedVersionFleet fleet = played.start(OLD, NEW);
            fleet.exchange().after(2_000, () -> fleet.exchange().partition(Set.of("domain-1")));
            fleet.exchange().after(7_000, () -> fleet.exchange().partition(Set.of()));

            fleet.send(played.streamsPerSecond(), 0.3, 10_000);
            fleet.exchange().run(3_000);

            assertNoneJoined("partition", played, fleet);
        }
    }
}
