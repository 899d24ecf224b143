package org.pollenhoist.experiments.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.VmName;
import org.pollenhoist.operator.ConfigurationCommit;

/** Fleets under changing faults in simulated time; what each VM had in force is checked against what was accepted. */
class SpreadHistoryTest {

    private static final int SEEDS = 40;
    private static final int DOMAINS = 3;
    private static final int VMS = 9;
    private static final long BOUND_MILLISECONDS = 3_000;
    private static final SimulatedFleet.Shape FAULTY = new SimulatedFleet.Shape(DOMAINS, VMS, 2, 0.2, 0.05, false);

    /** A fleet with the operators' side and what was seen of it. */
    private static final class Run {

        private final SimulatedFleet fleet;
        private final ConfigurationCommit commit;
        private final Random random;
        private final Map<VmName, SimulatedVm> incarnations = new HashMap<>();
        private final Map<VmName, Long> inForce = new HashMap<>();
        private final Map<VmName, Long> served = new HashMap<>();
        private final Set<SimulatedVm> serving = new HashSet<>();
        private final List<String> violations = new ArrayList<>();
        private int changes;
        private long accepted;

        Run(SimulatedFleet.Shape shape, long seed) {
            fleet = new SimulatedFleet(shape, seed);
            commit = new ConfigurationCommit(fleet.store().client(), duration -> {});
            random = new Random(seed);
            change();
        }

        void change() {
            changes++;
            accepted = commit.apply(SyntheticConfiguration.of(2, 3, DOMAINS, changes), OptionalLong.empty())
                    .revision();
        }

        void runUnderFaults() {
            for (int event = 0; event < 60; event++) {
                makeEvent();
                for (int step = 0; step < 10; step++) {
                    fleet.run(50);
                    observe();
                }
            }
        }

        private void makeEvent() {
            FailureDomain one = SimulatedFleet.domain(random.nextInt(DOMAINS));
            FailureDomain other = SimulatedFleet.domain(random.nextInt(DOMAINS));
            switch (random.nextInt(6)) {
                case 0, 1 -> change();
                case 2 -> fleet.cutFromPlatform(one, random.nextBoolean());
                case 3 -> {
                    if (!one.equals(other)) {
                        fleet.cut(one, other, random.nextBoolean());
                    }
                }
                case 4 ->
                    fleet.restart(
                            VmName.of("entry-" + (1 + random.nextInt(fleet.vms().size()))));
                default -> fleet.healAll();
            }
        }

        private void observe() {
            for (SimulatedVm vm : fleet.vms()) {
                VmName name = vm.self().name();
                boolean isSame = incarnations.put(name, vm) == vm;
                if (isSame && vm.revision() < inForce.get(name)) {
                    violations.add(name + " stepped back to " + vm.revision() + " from " + inForce.get(name));
                }
                inForce.put(name, vm.revision());
                if (vm.isReady(fleet.now())) {
                    checkServing(vm);
                }
            }
        }

        /** A VM that the platform answered before it began to serve serves nothing older than its predecessor did. */
        private void checkServing(SimulatedVm vm) {
            boolean isFirst = serving.add(vm);
            long earlier = served.getOrDefault(vm.self().name(), 0L);
            boolean isConfirmed = vm.revisionAtConfirmation().isPresent();
            if (vm.revision() == 0 || (isFirst && isConfirmed && vm.revision() < earlier)) {
                violations.add(vm.self().name() + " serves " + vm.revision() + " after " + earlier);
            }
            if (vm.revision() > accepted) {
                violations.add(vm.self().name() + " serves " + vm.revision() + ", accepted are " + accepted);
            }
            served.merge(vm.self().name(), vm.revision(), Math::max);
        }
    }

    @Nested
    class UnderFaults {

        @Test
        void should_never_step_back_and_agree_within_the_bound_after_healing() {
            for (long seed = 1; seed <= SEEDS; seed++) {
                Run run = new Run(FAULTY, seed);

                run.runUnderFaults();
                run.fleet.healAll();
                long milliseconds = run.fleet.runUntilInForce(run.accepted, 2 * BOUND_MILLISECONDS);

                assertThat(run.violations).as("seed %d", seed).isEmpty();
                assertThat(milliseconds).as("seed %d", seed).isLessThanOrEqualTo(BOUND_MILLISECONDS);
            }
        }
    }

    @Nested
    class Mutants {

        @Test
        void should_be_found_when_a_vm_that_starts_trusts_an_answer_from_before() {
            SimulatedFleet.Shape mutant = new SimulatedFleet.Shape(1, 2, 2, 0.5, 1, true);

            boolean isFound = LongStream.rangeClosed(1, SEEDS).anyMatch(seed -> {
                Run run = new Run(mutant, seed);
                run.runUnderFaults();
                return !run.violations.isEmpty();
            });

            assertThat(isFound).isTrue();
        }

        @Test
        void should_not_be_found_when_only_reads_answer_from_before() {
            SimulatedFleet.Shape same = new SimulatedFleet.Shape(1, 2, 2, 0.5, 1, false);

            for (long seed = 1; seed <= SEEDS; seed++) {
                Run run = new Run(same, seed);
                run.runUnderFaults();
                assertThat(run.violations).as("seed %d", seed).isEmpty();
            }
        }
    }

    @Nested
    class CutFromThePlatform {

        @Test
        void should_hear_of_a_change_from_other_domains_within_the_bound() {
            for (long seed = 1; seed <= SEEDS; seed++) {
                Run run = new Run(SimulatedFleet.Shape.of(DOMAINS, VMS, 2), seed);
                run.fleet.run(5_000);
                run.fleet.cutFromPlatform(SimulatedFleet.domain(0), true);
                run.fleet.run(random(seed));

                run.change();
                long milliseconds = run.fleet.runUntilInForce(run.accepted, 2 * BOUND_MILLISECONDS);

                assertThat(milliseconds).as("seed %d", seed).isLessThanOrEqualTo(BOUND_MILLISECONDS);
            }
        }

        @Test
        void should_not_hear_of_it_when_the_relay_is_removed() {
            Run run = new Run(new SimulatedFleet.Shape(DOMAINS, VMS, 2, 0, 1, false), 1);
            run.fleet.run(5_000);
            run.fleet.cutFromPlatform(SimulatedFleet.domain(0), true);

            run.change();
            run.fleet.runUntilInForce(run.accepted, 2 * BOUND_MILLISECONDS);

            assertThat(run.fleet.isInForce(run.accepted)).isFalse();
        }

        @Test
        void should_start_from_peers_when_the_platform_is_down() {
            for (long seed = 1; seed <= SEEDS; seed++) {
                Run run = new Run(SimulatedFleet.Shape.of(DOMAINS, VMS, 2), seed);
                run.fleet.run(5_000);
                for (int domain = 0; domain < DOMAINS; domain++) {
                    run.fleet.cutFromPlatform(SimulatedFleet.domain(domain), true);
                }
                run.fleet.run(random(seed));

                SimulatedVm fresh = run.fleet.restart(VmName.of("entry-1"));
                run.fleet.run(BOUND_MILLISECONDS);

                assertThat(fresh.revision()).as("seed %d", seed).isEqualTo(run.accepted);
                assertThat(fresh.isReady(run.fleet.now())).as("seed %d", seed).isTrue();
            }
        }

        @Test
        void should_not_be_ready_when_there_are_neither_platform_nor_peers() {
            Run run = new Run(new SimulatedFleet.Shape(1, 1, 2, 0, 0, false), 1);
            run.fleet.run(1_000);
            run.fleet.cutFromPlatform(SimulatedFleet.domain(0), true);

            SimulatedVm fresh = run.fleet.restart(VmName.of("entry-1"));
            run.fleet.run(60_000);

            assertThat(fresh.isReady(run.fleet.now())).isFalse();
        }

        private static long random(long seed) {
            return 25 * (long) new Random(seed).nextInt(400);
        }
    }

    @Nested
    class PlatformAge {

        @Test
        void should_grow_in_domains_that_are_cut_off_together_although_they_hear_each_other() {
            Run run = new Run(SimulatedFleet.Shape.of(DOMAINS, VMS, 2), 1);
            run.fleet.run(5_000);
            FailureDomain served = SimulatedFleet.domain(2);
            for (int domain = 0; domain < 2; domain++) {
                run.fleet.cutFromPlatform(SimulatedFleet.domain(domain), true);
                run.fleet.cut(SimulatedFleet.domain(domain), served, true);
            }

            run.fleet.run(60_000);

            for (SimulatedVm vm : run.fleet.vms()) {
                long seconds =
                        vm.spread().platformAge(run.fleet.now()).orElseThrow().toSeconds();
                if (vm.self().failureDomain().equals(served)) {
                    assertThat(seconds).isLessThanOrEqualTo(5);
                } else {
                    assertThat(seconds).isBetween(55L, 65L);
                }
            }
        }
    }

    @Nested
    class Watchers {

        @Test
        void should_be_as_many_as_set_in_each_domain() {
            Run run = new Run(SimulatedFleet.Shape.of(3, 18, 2), 1);
            run.fleet.run(20_000);

            Map<FailureDomain, Long> watching = new HashMap<>();
            run.fleet.vms().stream()
                    .filter(SimulatedVm::isWatching)
                    .forEach(vm -> watching.merge(vm.self().failureDomain(), 1L, Long::sum));

            assertThat(watching).hasSize(3);
            assertThat(watching.values()).allMatch(count -> count == 2);
        }

        @Test
        void should_be_replaced_when_they_end() {
            long replaced = LongStream.rangeClosed(1, SEEDS)
                    .filter(seed -> {
                        Run run = new Run(SimulatedFleet.Shape.of(1, 6, 1), seed);
                        run.fleet.run(10_000);
                        VmName watcher = run.fleet.vms().stream()
                                .filter(SimulatedVm::isWatching)
                                .findFirst()
                                .orElseThrow()
                                .self()
                                .name();
                        run.fleet.restart(watcher);
                        run.change();
                        return run.fleet.runUntilInForce(run.accepted, 2 * BOUND_MILLISECONDS) <= BOUND_MILLISECONDS;
                    })
                    .count();

            assertThat(replaced).isEqualTo(SEEDS);
        }
    }
}
