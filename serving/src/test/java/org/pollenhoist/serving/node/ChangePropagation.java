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
    private static final long GROWTH_MILLISECONDS = 3_000;
    private static final long CHANGE_INTERVAL_MILLISECONDS = 400;
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

    /**
     * What became of a large configuration that changed several times.
     *
     * @param distribution the times until the last VM had a change, or a later one, in force
     * @param behind the names of the VMs that did not have the last change in force at the end
     * @param traffic who asked whom for relays meanwhile
     */
    record LargeChanges(Distribution distribution, List<String> behind, String traffic) {

        private static final int NAMED_VMS = 3;

        Duration longest() {
            return distribution.longest();
        }

        @Override
        public String toString() {
            return "%s; %d VMs behind at the end, %s; %s"
                    .formatted(
                            distribution,
                            behind.size(),
                            behind.stream().limit(NAMED_VMS).toList(),
                            traffic);
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
            Change change = change(version);
            fleet.run(SETTLING_MILLISECONDS);
            recordMissing(change);
        }
        return distribution(startedAt, bytes, calls);
    }

    /**
     * Changes the configuration to one of a certain size and then, after an interval each, several times more, in one
     * trouble that strikes before the first change that counts.
     *
     * @param configurationBytes the size of each version but the first one
     * @param isLargeBefore whether the configuration has that size already before the changes that count
     */
    LargeChanges measureLarge(StoreTrouble trouble, int count, int configurationBytes, boolean isLargeBefore) {
        writeForever();
        fleet.run(START_MILLISECONDS);
        fleet.setConfigurationBytes(configurationBytes);
        int version = 2;
        if (isLargeBefore) {
            fleet.configure(version++);
            fleet.run(GROWTH_MILLISECONDS);
        }
        MonotonicTime startedAt = fleet.now();
        long bytes = fleet.bytes();
        long calls = fleet.store.calls();
        trouble.strike(fleet, random);
        for (int changed = 0; changed < count; changed++) {
            fleet.run(changed == 0 ? 0 : CHANGE_INTERVAL_MILLISECONDS);
            change(version + changed);
        }
        fleet.run(SETTLING_MILLISECONDS);
        changes.forEach(this::recordMissing);
        return new LargeChanges(distribution(startedAt, bytes, calls), behind(), fleet.relays.toString());
    }

    private Change change(long version) {
        Change change = new Change(version, fleet.now());
        changes.add(change);
        fleet.configure(version);
        return change;
    }

    private void recordMissing(Change change) {
        fleet.vms.stream()
                .filter(vm -> vm.version() < change.version() && vm.isUndisturbedFor(stablePeriod))
                .forEach(vm -> record(change));
    }

    private List<String> behind() {
        long last = changes.get(changes.size() - 1).version();
        return fleet.vms.stream()
                .filter(vm -> vm.version() < last && vm.isUndisturbedFor(stablePeriod))
                .map(vm -> vm.name)
                .toList();
    }

    private Distribution distribution(MonotonicTime startedAt, long bytes, long calls) {
        double seconds = fleet.now().since(startedAt).toMillis() / 1e3;
        return new Distribution(
                changes.stream().map(change -> longest.getOrDefault(change, 0L)).toList(),
                (fleet.bytes() - bytes) / seconds / fleet.vms.size(),
                (fleet.store.calls() - calls) / seconds);
    }
}
