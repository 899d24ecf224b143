package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

/**
 * Guards against VMs that stay behind a configuration because of its size, on links of which two in each failure domain
 * are wide. A VM that has a later version has the earlier ones in force, too.
 */
class LargeConfigurationTest {

    private static final long SEED = 2;
    private static final long OTHER_SEED = 1;

    private static final Duration BOUND = Duration.ofSeconds(3);
    private static final Duration STABLE_PERIOD = Duration.ofSeconds(4);

    private static final int CHANGES = 10;
    private static final int LARGE_BYTES = 350 << 10;
    /** The longest value that the store takes. */
    private static final int LARGEST_BYTES = 1 << 20;

    private static final int STORE_MEGABITS_PER_SECOND = 1_000;
    private static final int WIDE_MEGABITS_PER_SECOND = 140;
    private static final int NARROW_MEGABITS_PER_SECOND = 7;
    private static final int WIDE_LINKS_OF_A_DOMAIN = 2;

    private static ChangePropagation.LargeChanges changeTenTimes(
            int vms, int domains, double callersShare, StoreTrouble trouble) {
        return propagation(vms, domains, callersShare, SEED).measureLarge(trouble, CHANGES, LARGE_BYTES, true);
    }

    private static ChangePropagation.LargeChanges growToTheLargest(int vms, int domains, long seed) {
        return propagation(vms, domains, 0, seed).measureLarge(StoreTrouble.CALM, 1, LARGEST_BYTES, false);
    }

    private static ChangePropagation propagation(int vms, int domains, double callersShare, long seed) {
        return new ChangePropagation(fleet(vms, domains, callersShare, seed), STABLE_PERIOD, seed);
    }

    private static StoreFleet fleet(int vms, int domains, double callersShare, long seed) {
        return new StoreFleet(
                vms,
                domains,
                BOUND,
                seed,
                SimulatedLink.of(STORE_MEGABITS_PER_SECOND, 0),
                index -> SimulatedLink.of(
                        index / domains < WIDE_LINKS_OF_A_DOMAIN
                                ? WIDE_MEGABITS_PER_SECOND
                                : NARROW_MEGABITS_PER_SECOND,
                        callersShare));
    }

    private static ChangePropagation.LargeChanges changeTenTimesWithUnnamedLinks(
            int vms, int domains, double callersShare) {
        StoreFleet fleet = fleet(vms, domains, callersShare, SEED);
        fleet.vms.forEach(vm -> vm.linkMegabits = 0);
        return new ChangePropagation(fleet, STABLE_PERIOD, SEED)
                .measureLarge(StoreTrouble.CALM, CHANGES, LARGE_BYTES, true);
    }

    private static void assertInForceInTime(ChangePropagation.LargeChanges measured) {
        assertThat(measured.longest()).as(measured.toString()).isLessThanOrEqualTo(BOUND);
    }

    private static void assertNobodyBehind(ChangePropagation.LargeChanges measured) {
        assertThat(measured.behind()).as(measured.toString()).isEmpty();
    }

    @Nested
    @TestInstance(TestInstance.Lifecycle.PER_CLASS)
    class FleetOf85 {

        private ChangePropagation.LargeChanges measured;

        @BeforeAll
        void measure() {
            measured = changeTenTimes(85, 5, 0, StoreTrouble.CALM);
        }

        @Test
        void should_have_each_change_in_force_within_3_seconds_in_a_fleet_of_85() {
            assertInForceInTime(measured);
        }

        @Test
        void should_leave_no_vm_behind_in_a_fleet_of_85() {
            assertNobodyBehind(measured);
        }
    }

    @Nested
    @TestInstance(TestInstance.Lifecycle.PER_CLASS)
    class FleetOf330 {

        private ChangePropagation.LargeChanges measured;

        @BeforeAll
        void measure() {
            measured = changeTenTimes(330, 16, 0, StoreTrouble.CALM);
        }

        @Test
        void should_have_each_change_in_force_within_3_seconds_in_a_fleet_of_330() {
            assertInForceInTime(measured);
        }

        @Test
        void should_leave_no_vm_behind_in_a_fleet_of_330() {
            assertNobodyBehind(measured);
        }
    }

    @Nested
    @TestInstance(TestInstance.Lifecycle.PER_CLASS)
    class FleetOf85WithBusyLinks {

        private ChangePropagation.LargeChanges measured;

        @BeforeAll
        void measure() {
            measured = changeTenTimes(85, 5, 0.5, StoreTrouble.CALM);
        }

        @Test
        void should_have_each_change_in_force_within_3_seconds_in_a_fleet_of_85_with_half_of_each_link() {
            assertInForceInTime(measured);
        }

        @Test
        void should_leave_no_vm_behind_in_a_fleet_of_85_with_half_of_each_link() {
            assertNobodyBehind(measured);
        }
    }

    @Nested
    @TestInstance(TestInstance.Lifecycle.PER_CLASS)
    class FleetOf330WithBusyLinks {

        private ChangePropagation.LargeChanges measured;

        @BeforeAll
        void measure() {
            measured = changeTenTimes(330, 16, 0.5, StoreTrouble.CALM);
        }

        @Test
        void should_have_each_change_in_force_within_3_seconds_in_a_fleet_of_330_with_half_of_each_link() {
            assertInForceInTime(measured);
        }

        @Test
        void should_leave_no_vm_behind_in_a_fleet_of_330_with_half_of_each_link() {
            assertNobodyBehind(measured);
        }
    }

    @Nested
    @TestInstance(TestInstance.Lifecycle.PER_CLASS)
    class FleetOf85WhoseWatchersAreRejected {

        private ChangePropagation.LargeChanges measured;

        @BeforeAll
        void measure() {
            measured = changeTenTimes(85, 5, 0, StoreTrouble.REJECTED);
        }

        @Test
        void should_have_each_change_in_force_within_3_seconds_in_a_fleet_of_85_whose_watchers_are_rejected() {
            assertInForceInTime(measured);
        }

        @Test
        void should_leave_no_vm_behind_in_a_fleet_of_85_whose_watchers_are_rejected() {
            assertNobodyBehind(measured);
        }
    }

    @Nested
    @TestInstance(TestInstance.Lifecycle.PER_CLASS)
    class FleetOf85WhoseWatchersGetNoAnswer {

        private ChangePropagation.LargeChanges measured;

        @BeforeAll
        void measure() {
            measured = changeTenTimes(85, 5, 0, StoreTrouble.UNANSWERED);
        }

        @Test
        void should_have_each_change_in_force_within_3_seconds_in_a_fleet_of_85_whose_watchers_get_no_answer() {
            assertInForceInTime(measured);
        }

        @Test
        void should_leave_no_vm_behind_in_a_fleet_of_85_whose_watchers_get_no_answer() {
            assertNobodyBehind(measured);
        }
    }

    @Nested
    @TestInstance(TestInstance.Lifecycle.PER_CLASS)
    class FleetOf85WhoseResponsesGetLost {

        private ChangePropagation.LargeChanges measured;

        @BeforeAll
        void measure() {
            measured = changeTenTimes(85, 5, 0, StoreTrouble.LOST_RESPONSES);
        }

        @Test
        void should_have_each_change_in_force_within_3_seconds_in_a_fleet_of_85_half_of_whose_responses_get_lost() {
            assertInForceInTime(measured);
        }

        @Test
        void should_leave_no_vm_behind_in_a_fleet_of_85_half_of_whose_responses_get_lost() {
            assertNobodyBehind(measured);
        }
    }

    @Nested
    @TestInstance(TestInstance.Lifecycle.PER_CLASS)
    class LargestConfigurationOf85 {

        private ChangePropagation.LargeChanges measured;

        @BeforeAll
        void measure() {
            measured = growToTheLargest(85, 5, SEED);
        }

        @Test
        void should_have_each_change_in_force_within_3_seconds_in_a_fleet_of_85_with_the_largest_configuration() {
            assertInForceInTime(measured);
        }

        @Test
        void should_leave_no_vm_behind_in_a_fleet_of_85_with_the_largest_configuration() {
            assertNobodyBehind(measured);
        }
    }

    @Nested
    class LargestConfigurationOf85WithAnotherSeed {

        @Test
        void should_have_the_largest_configuration_in_force_within_3_seconds_with_another_seed() {
            assertInForceInTime(growToTheLargest(85, 5, OTHER_SEED));
        }
    }

    @Nested
    class FleetOf85WithBusyLinksThatNobodyNames {

        @Tag("known-red")
        @Test
        void should_have_each_change_in_force_within_3_seconds_where_no_vm_knows_its_link() {
            assertInForceInTime(changeTenTimesWithUnnamedLinks(85, 5, 0.5));
        }
    }
}
