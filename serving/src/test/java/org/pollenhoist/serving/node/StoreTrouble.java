package org.pollenhoist.serving.node;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** What befalls the VMs that watch the store, or the store itself, shortly before a configuration changes. */
enum StoreTrouble {
    /** Nothing happens. */
    CALM {
        @Override
        void strike(StoreFleet fleet, Random random) {
            fleet.run(random.nextInt(MAXIMUM_LEAD_MILLISECONDS));
        }
    },
    /** Half of the responses to the VMs that watch get lost. */
    LOST_RESPONSES {
        @Override
        void strike(StoreFleet fleet, Random random) {
            targets(fleet, random).forEach(vm -> vm.loseResponses(0.5, DURATION_MILLISECONDS));
            fleet.run(random.nextInt(MAXIMUM_LEAD_MILLISECONDS));
        }
    },
    /** The store refuses the VMs that watch, and serves all others. */
    REJECTED {
        @Override
        void strike(StoreFleet fleet, Random random) {
            targets(fleet, random)
                    .forEach(vm -> vm.treat(SimulatedHistoryStore.Treatment.REJECTED, DURATION_MILLISECONDS));
            fleet.run(random.nextInt(MAXIMUM_LEAD_MILLISECONDS));
        }
    },
    /** The store no longer answers the VMs that watch, and serves all others. */
    UNANSWERED {
        @Override
        void strike(StoreFleet fleet, Random random) {
            targets(fleet, random)
                    .forEach(vm -> vm.treat(SimulatedHistoryStore.Treatment.UNANSWERED, DURATION_MILLISECONDS));
            fleet.run(random.nextInt(MAXIMUM_LEAD_MILLISECONDS));
        }
    },
    /** The store leaves one VM that watches after the other without answers, whoever has taken over by then. */
    UNANSWERED_IN_TURN {
        @Override
        void strike(StoreFleet fleet, Random random) {
            for (int turn = 0; turn < TURNS; turn++) {
                fleet.after(
                        turn * TURN_MILLISECONDS,
                        () -> oneOfEachDomain(fleet, random)
                                .forEach(vm ->
                                        vm.treat(SimulatedHistoryStore.Treatment.UNANSWERED, 2 * TURN_MILLISECONDS)));
            }
            fleet.run(random.nextInt(MAXIMUM_LEAD_MILLISECONDS));
        }
    },
    /** The VMs that watch stand still. */
    PAUSED {
        @Override
        void strike(StoreFleet fleet, Random random) {
            targets(fleet, random).forEach(vm -> vm.freeze(200 + random.nextInt(DURATION_MILLISECONDS)));
            fleet.run(random.nextInt(MAXIMUM_LEAD_MILLISECONDS));
        }
    },
    /** The VMs that watch are killed at once. */
    KILLED {
        @Override
        void strike(StoreFleet fleet, Random random) {
            targets(fleet, random).forEach(vm -> vm.kill(500));
            fleet.run(random.nextInt(MAXIMUM_LEAD_MILLISECONDS));
        }
    },
    /** VMs are replaced one after the other, always one that watches by then. */
    ROLLING_RESTART {
        @Override
        void strike(StoreFleet fleet, Random random) {
            for (int turn = 0; turn < TURNS; turn++) {
                fleet.after(
                        turn * TURN_MILLISECONDS,
                        () -> oneOfEachDomain(fleet, random).forEach(vm -> vm.restart(1_000, 500)));
            }
            fleet.run(random.nextInt(MAXIMUM_LEAD_MILLISECONDS));
        }
    },
    /** The store comes back from a copy that lacks the last seconds, and is written to at once. */
    DRILL {
        @Override
        void strike(StoreFleet fleet, Random random) {
            fleet.store.takeCopy();
            fleet.rewriteConfiguration();
            fleet.run(500 + random.nextInt(DURATION_MILLISECONDS));
            fleet.store.comeBackFromCopy();
            fleet.run(random.nextInt(100));
            fleet.rewriteConfiguration();
            fleet.run(random.nextInt(200));
        }
    },
    /** Failure domains don't reach each other, and the VMs that watch get no answer. */
    PARTITIONED_AND_UNANSWERED {
        @Override
        void strike(StoreFleet fleet, Random random) {
            partition(fleet);
            UNANSWERED.strike(fleet, random);
        }
    },
    /** Failure domains don't reach each other, and half of the responses to the VMs that watch get lost. */
    PARTITIONED_AND_LOST_RESPONSES {
        @Override
        void strike(StoreFleet fleet, Random random) {
            partition(fleet);
            LOST_RESPONSES.strike(fleet, random);
        }
    },
    /** Failure domains don't reach each other, and VMs are replaced one after the other. */
    PARTITIONED_AND_RESTARTED {
        @Override
        void strike(StoreFleet fleet, Random random) {
            partition(fleet);
            ROLLING_RESTART.strike(fleet, random);
        }
    },
    /** The store refuses some VMs while others stand still. */
    REJECTED_AND_PAUSED {
        @Override
        void strike(StoreFleet fleet, Random random) {
            List<StoreFleet.Vm> struck = targets(fleet, random);
            boolean[] isRefused = {false};
            fleet.run(random.nextInt(MAXIMUM_LEAD_MILLISECONDS));
            struck.forEach(vm -> {
                isRefused[0] = !isRefused[0];
                if (isRefused[0]) {
                    vm.treat(SimulatedHistoryStore.Treatment.REJECTED, DURATION_MILLISECONDS);
                } else {
                    // It may have told of the change, and can't relay it.
                    fleet.after(random.nextInt(600), () -> vm.freeze(DURATION_MILLISECONDS));
                }
            });
        }
    },
    /** A drill in which the VMs that watch get no answer. */
    DRILL_AND_UNANSWERED {
        @Override
        void strike(StoreFleet fleet, Random random) {
            DRILL.strike(fleet, random);
            targets(fleet, random)
                    .forEach(vm -> vm.treat(SimulatedHistoryStore.Treatment.UNANSWERED, DURATION_MILLISECONDS));
        }
    },
    /** The same while failure domains don't reach each other. */
    PARTITIONED_DRILL_AND_UNANSWERED {
        @Override
        void strike(StoreFleet fleet, Random random) {
            partition(fleet);
            DRILL_AND_UNANSWERED.strike(fleet, random);
        }
    };

    private static final int FULL_MESH_VMS = 24;
    private static final int MAXIMUM_LEAD_MILLISECONDS = 2_000;
    private static final int DURATION_MILLISECONDS = 4_000;
    private static final int TURNS = 8;
    private static final long TURN_MILLISECONDS = 500;

    /** Those that know the store first, and among these the one that has been left in peace for longest. */
    private static final Comparator<StoreFleet.Vm> ORDER = Comparator.comparing(
                    (StoreFleet.Vm vm) -> vm.isCurrent() ? 0 : 1)
            .thenComparing(StoreFleet.Vm::lastTreatment);

    /** Begins the trouble and returns when the configuration is to change. */
    abstract void strike(StoreFleet fleet, Random random);

    /** Returns two VMs of each failure domain that watch, or one where all watch: the store serves all others. */
    private static List<StoreFleet.Vm> targets(StoreFleet fleet, Random random) {
        return ofEachDomain(fleet, fleet.vms.size() <= FULL_MESH_VMS ? 1 : 2, random);
    }

    private static List<StoreFleet.Vm> oneOfEachDomain(StoreFleet fleet, Random random) {
        return ofEachDomain(fleet, 1, random);
    }

    private static List<StoreFleet.Vm> ofEachDomain(StoreFleet fleet, int count, Random random) {
        List<StoreFleet.Vm> watching = new ArrayList<>(
                fleet.vms.stream().filter(StoreFleet.Vm::isWatching).toList());
        Collections.shuffle(watching, random);
        Map<String, List<StoreFleet.Vm>> byDomain = new TreeMap<>();
        watching.forEach(vm -> byDomain.computeIfAbsent(vm.failureDomain, domain -> new ArrayList<>())
                .add(vm));
        return byDomain.values().stream()
                .flatMap(vms -> vms.stream().sorted(ORDER).limit(count))
                .toList();
    }

    private static void partition(StoreFleet fleet) {
        fleet.partition(fleet.vms.stream().map(vm -> vm.failureDomain).collect(Collectors.toSet()));
        fleet.after(2L * DURATION_MILLISECONDS, () -> fleet.partition(Set.of()));
    }
}
