package org.pollenhoist.experiments.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.pollenhoist.configuration.Configuration;
import org.pollenhoist.experiments.Experiment;
import org.pollenhoist.experiments.ExperimentResult;
import org.pollenhoist.experiments.ExperimentResult.Direction;
import org.pollenhoist.experiments.ExperimentResult.Measure;
import org.pollenhoist.experiments.ExperimentResult.Reading;
import org.pollenhoist.operator.ConfigurationCommit;

/**
 * What the spread of configurations costs against the size of the fleet, in simulated time. The baseline lets every VM
 * watch the platform.
 */
public final class ConfigurationSpreadExperiment implements Experiment {

    private static final int CHANGES = 20;
    private static final long PATIENCE_MILLISECONDS = 30_000;
    private static final long SETTLING_MILLISECONDS = 10_000;
    private static final int WATCHERS = 2;
    private static final int KEYS = 200;
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    /** One size of fleet and of configuration. */
    private record Size(int vms, int domains, int models, int upstreams) {}

    private static final List<Size> SIZES = List.of(
            new Size(3, 3, 30, 16),
            new Size(6, 3, 30, 16),
            new Size(9, 3, 30, 16),
            new Size(18, 3, 30, 16),
            new Size(330, 16, 420, 2_200));

    /** What one fleet has spent. */
    private record Cost(
            double idleCalls,
            double idleBytes,
            double mostIdleBytes,
            double changeCalls,
            double changeBytes,
            double slowestSeconds) {}

    @Override
    public String name() {
        return "configuration-spread";
    }

    @Override
    public String description() {
        return "Platform calls and bytes per VM, idle and for each change, against the size of the fleet (simulated).";
    }

    @Override
    public ExperimentResult run(long seed, Duration length, Progress progress) {
        List<Measure> measures = new ArrayList<>();
        for (Size size : SIZES) {
            progress.report(size.vms() + " VMs");
            Cost own = cost(size, WATCHERS, seed, length);
            Cost baseline = cost(size, size.vms(), seed, length);
            String suffix = ", " + size.vms() + " VMs";
            add(measures, "idle platform calls of the fleet" + suffix, "1/s", own.idleCalls(), baseline.idleCalls());
            add(measures, "idle bytes to peers per VM" + suffix, "B/s", own.idleBytes(), baseline.idleBytes());
            add(measures, "idle bytes, busiest VM" + suffix, "B/s", own.mostIdleBytes(), baseline.mostIdleBytes());
            add(measures, "platform calls per change" + suffix, "calls", own.changeCalls(), baseline.changeCalls());
            add(measures, "bytes per VM and change" + suffix, "B", own.changeBytes(), baseline.changeBytes());
            add(measures, "slowest change" + suffix, "s", own.slowestSeconds(), baseline.slowestSeconds());
        }
        return new ExperimentResult(name(), seed, length, measures);
    }

    private static void add(List<Measure> measures, String what, String unit, double own, double baseline) {
        measures.add(Measure.of(
                what,
                unit,
                Direction.LOWER_IS_BETTER,
                new Reading("pollenhoist", own),
                new Reading("every VM watches", baseline)));
    }

    private static Cost cost(Size size, int watchers, long seed, Duration length) {
        SimulatedFleet fleet = new SimulatedFleet(SimulatedFleet.Shape.of(size.domains(), size.vms(), watchers), seed);
        ConfigurationCommit commit =
                new ConfigurationCommit(fleet.store().client(), duration -> fleet.run(duration.toMillis()));
        commit.apply(configuration(size, 0), OptionalLong.empty());
        for (int key = 0; key < KEYS; key++) {
            commit.giveKey(SyntheticKeys.record(key));
        }
        fleet.run(SETTLING_MILLISECONDS);
        long idleCalls = fleet.platformCalls();
        long idleBytes = fleet.peerBytes();
        long mostBytes = fleet.mostPeerBytes();
        fleet.run(length.toMillis());
        double seconds = length.toMillis() / MILLISECONDS_PER_SECOND;
        double callsPerSecond = (fleet.platformCalls() - idleCalls) / seconds;
        double bytesPerSecond = (fleet.peerBytes() - idleBytes) / seconds / size.vms();
        double mostPerSecond = (fleet.mostPeerBytes() - mostBytes) / seconds;
        long changeStart = fleet.milliseconds();
        long calls = fleet.platformCalls();
        long bytes = fleet.peerBytes() + fleet.platformBytes();
        long slowest = changes(fleet, commit, size);
        double elapsed = (fleet.milliseconds() - changeStart) / MILLISECONDS_PER_SECOND;
        double allBytes = fleet.peerBytes() + fleet.platformBytes() - bytes;
        return new Cost(
                callsPerSecond,
                bytesPerSecond,
                mostPerSecond,
                (fleet.platformCalls() - calls - callsPerSecond * elapsed) / CHANGES,
                (allBytes / size.vms() - bytesPerSecond * elapsed) / CHANGES,
                slowest / MILLISECONDS_PER_SECOND);
    }

    /** Half of the changes give a key, half change a team's rate. */
    private static long changes(SimulatedFleet fleet, ConfigurationCommit commit, Size size) {
        long slowest = 0;
        for (int change = 0; change < CHANGES; change++) {
            long revision = change % 2 == 0
                    ? commit.giveKey(SyntheticKeys.record(KEYS + change)).revision()
                    : commit.apply(configuration(size, change), OptionalLong.empty())
                            .revision();
            slowest = Math.max(slowest, fleet.runUntilInForce(revision, PATIENCE_MILLISECONDS));
            fleet.run(SETTLING_MILLISECONDS / CHANGES);
        }
        return slowest;
    }

    private static Configuration configuration(Size size, int change) {
        return SyntheticConfiguration.of(size.models(), size.upstreams(), size.domains(), 1_000 + change);
    }
}
