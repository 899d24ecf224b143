package org.pollenhoist.experiments.limit;

import java.time.Duration;
import java.util.Random;

/** Schedules the faults of a plan at random times. */
final class FaultInjector {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final long LONGEST_ABSENCE = 30 * SECOND;
    private static final long LONGEST_CUT = 120 * SECOND;
    private static final long LONGEST_OUTAGE = 150 * SECOND;
    private static final long FIRST_OTHER_ADDRESS = 1000;

    private final FleetSimulation fleet;
    private final FleetShape shape;
    private final FaultPlan faults;
    private final Random random;
    private long nextAddress = FIRST_OTHER_ADDRESS;

    FaultInjector(FleetSimulation fleet, FleetShape shape, FaultPlan faults, Random random) {
        this.fleet = fleet;
        this.shape = shape;
        this.faults = faults;
        this.random = random;
    }

    void schedule(long end) {
        repeat(faults.betweenKills(), end, this::killOne);
        repeat(faults.betweenPauses(), end, this::pauseOne);
        repeat(faults.betweenCuts(), end, this::cutOne);
        repeat(faults.betweenOutages(), end, this::stopPlatform);
    }

    private void repeat(Duration mean, long end, Runnable fault) {
        if (mean.isZero()) {
            return;
        }
        long time = 0;
        while (time < end) {
            time += (long) (-Math.log(1 - random.nextDouble()) * mean.toNanos());
            fleet.queue().at(time, fault);
        }
    }

    private void killOne() {
        int index = random.nextInt(shape.vms());
        SimulatedVm vm = fleet.vm(index);
        if (vm == null || !vm.isAlive()) {
            return;
        }
        vm.kill();
        long address = random.nextBoolean() ? index : nextAddress++;
        fleet.queue().after(random.nextLong(LONGEST_ABSENCE), () -> fleet.start(index, address));
    }

    private void pauseOne() {
        SimulatedVm vm = fleet.vm(random.nextInt(shape.vms()));
        if (vm == null || !vm.isAlive() || vm.isPausedLongerThan(-1)) {
            return;
        }
        vm.pause();
        fleet.queue().after(random.nextLong(Math.max(1, faults.longestPause().toNanos())), vm::wake);
    }

    private void cutOne() {
        int domain = random.nextInt(shape.domains());
        fleet.cut(domain, true);
        fleet.queue().after(random.nextLong(LONGEST_CUT), () -> fleet.cut(domain, false));
    }

    private void stopPlatform() {
        fleet.platform().setDown(true);
        fleet.queue()
                .after(random.nextLong(LONGEST_OUTAGE), () -> fleet.platform().setDown(false));
    }
}
