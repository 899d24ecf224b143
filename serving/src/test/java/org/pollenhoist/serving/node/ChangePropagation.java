package org.pollenhoist.serving.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.pollenhoist.common.MonotonicTime;

/**
 * Changes the configuration of a simulated fleet again and again, each time in trouble, and measures how long it takes
 * until the last VM has the change in force. VMs that have stood still or started lately don't count.
 */
final class ChangePropagation {

    private static final long START_MILLISECONDS = 6_000;
    private static final long SETTLING_MILLISECONDS = 9_000;
    private static final int WRITE_INTERVAL_MILLISECONDS = 600;
    private static final int WRITERS = 40;

    /** The times until the last VM had a change in force, and what the changes cost. */
    record Distribution(List<Long> milliseconds, double bytesPerVmAndSecond, double callsPerSecond) {

        Distribution {
            List<Long> sorted = new ArrayList<>(milliseconds);
            Collections.sort(sorted);
            milliseconds = List.copyOf(sorted);
        }

        private long quantile(double share) {
            int index = (int) Math.ceil(share * milliseconds.size()) - 1;
            return milliseconds.get(Math.max(0, index));
        }

        Duration longest() {
            return Duration.ofMillis(quantile(1));
        }

        @Override
        public String toString() {
            return "median %d ms, 99th percentile %d ms, maximum %d ms of %d changes; %.0f B/s a VM, %.1f store calls/s"
                    .formatted(
                            quantile(0.5),
                            quantile(0.99),
                            quantile(1),
                            milliseconds.size(),
                            bytesPerVmAndSecond,
                            callsPerSecond);
        }
    }

    private record Change(long version, MonotonicTime confirmedAt) {}

    private final StoreFleet fleet;
    private final Duration stablePeriod;
    private final Random random;
    private final List<Change> changes = new ArrayList<>();
    private final Map<StoreFleet.Vm, Long> versions = new HashMap<>();
    private final Map<Change, Long> longest = new HashMap<>();

    ChangePropagation(StoreFleet fleet, Duration stablePeriod, long seed) {
        this.fleet = fleet;
        this.stablePeriod = stablePeriod;
        this.random = new Random(seed);
        fleet.onInstalled(this::installed);
    }

    private void installed(StoreFleet.Vm vm) {
        long before = versions.getOrDefault(vm, 0L);
        versions.put(vm, vm.version());
        if (vm.isUndisturbedFor(stablePeriod)) {
            changes.stream()
                    .filter(change -> change.version() > before && change.version() <= vm.version())
                    .forEach(this::record);
        }
    }

    private void record(Change change) {
        longest.merge(change, fleet.now().since(change.confirmedAt()).toMillis(), Math::max);
    }

    private void writeForever() {
        fleet.store.write("servers/" + random.nextInt(WRITERS), new byte[200]);
        fleet.after(random.nextInt(WRITE_INTERVAL_MILLISECONDS), this::writeForever);
    }

    /** Changes the configuration several times, each time in the same kind of trouble. */
    Distribution measure(StoreTrouble trouble, int count) {
        writeForever();
        fleet.run(START_MILLISECONDS);
        MonotonicTime startedAt = fleet.now();
        long bytes = fleet.bytes();
        long calls = fleet.store.calls();
        for (int version = 2; version < 2 + count; version++) {
            trouble.strike(fleet, random);
            Change change = new Change(version, fleet.now());
            changes.add(change);
            fleet.configure(version);
            fleet.run(SETTLING_MILLISECONDS);
            fleet.vms.stream()
                    .filter(vm -> vm.version() < change.version() && vm.isUndisturbedFor(stablePeriod))
                    .forEach(vm -> record(change));
        }
        double seconds = fleet.now().since(startedAt).toMillis() / 1e3;
        return new Distribution(
                changes.stream().map(change -> longest.getOrDefault(change, 0L)).toList(),
                (fleet.bytes() - bytes) / seconds / fleet.vms.size(),
                (fleet.store.calls() - calls) / seconds);
    }
}
