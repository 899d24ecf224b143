package org.pollenhoist.experiments.configuration;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.configuration.Configuration;
import org.pollenhoist.experiments.Experiment;
import org.pollenhoist.experiments.ExperimentResult;
import org.pollenhoist.experiments.ExperimentResult.Direction;
import org.pollenhoist.experiments.ExperimentResult.Measure;
import org.pollenhoist.experiments.ExperimentResult.Reading;
import org.pollenhoist.experiments.processes.Fleet;
import org.pollenhoist.experiments.processes.FleetMember;
import org.pollenhoist.experiments.processes.FleetPlan;
import org.pollenhoist.experiments.processes.WorkFolder;
import org.pollenhoist.operator.ConfigurationCommit;
import org.pollenhoist.operator.Pause;
import org.pollenhoist.operator.Rollout;
import org.pollenhoist.operator.VmStatusClient;
import org.pollenhoist.platform.HttpPlatformService;
import org.pollenhoist.platform.ListedVm;

/** Measures in real time how long an accepted change takes to be in force on all entry processes. */
public final class ConfigurationRolloutExperiment implements Experiment {

    private static final int[] FLEET_SIZES = {3, 6, 9};
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final Duration PATIENCE = Duration.ofSeconds(10);
    private static final Pause PAUSE_BETWEEN_QUESTIONS =
            duration -> Pause.sleeping().pause(Duration.ofMillis(2));
    private static final int LONGEST_PAUSE_MILLISECONDS = 500;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    /** Creates the experiment. */
    public ConfigurationRolloutExperiment() {}

    @Override
    public String name() {
        return "configuration-rollout";
    }

    @Override
    public String description() {
        return "Time until an accepted change is in force on all of 3, 6 and 9 entry processes, in real time.";
    }

    @Override
    public ExperimentResult run(long seed, Duration length, Progress progress) {
        List<Reading> medians = new ArrayList<>();
        List<Reading> longest = new ArrayList<>();
        List<Reading> counts = new ArrayList<>();
        for (int size : FLEET_SIZES) {
            progress.report(size + " entry processes");
            try (Fleet fleet = Fleet.start(FleetPlan.thalassa(size), WorkFolder.create())) {
                Histogram times = measure(fleet, new Random(seed), length);
                String variant = size + " VMs";
                medians.add(new Reading(variant, times.getValueAtPercentile(50) / NANOSECONDS_PER_MILLISECOND));
                longest.add(new Reading(variant, times.getMaxValue() / NANOSECONDS_PER_MILLISECOND));
                counts.add(new Reading(variant, times.getTotalCount()));
            }
        }
        return new ExperimentResult(
                name(),
                seed,
                length,
                List.of(
                        new Measure("median time until in force", "ms", Direction.LOWER_IS_BETTER, medians),
                        new Measure("longest time until in force", "ms", Direction.LOWER_IS_BETTER, longest),
                        new Measure("changes", "changes", Direction.HIGHER_IS_BETTER, counts)));
    }

    private static Histogram measure(Fleet fleet, Random random, Duration length) {
        Histogram times = new Histogram(3);
        List<ListedVm> vms = fleet.entries().stream()
                .map(entry -> new ListedVm(
                        entry.name(),
                        FleetMember.ADDRESS,
                        entry.port(),
                        FailureDomain.of(entry.failureDomain()),
                        false))
                .toList();
        InetSocketAddress address = new InetSocketAddress(
                InetAddress.getLoopbackAddress(), fleet.platform().port());
        try (HttpPlatformService platform = HttpPlatformService.at(address, TIMEOUT);
                VmStatusClient client = VmStatusClient.withTimeout(TIMEOUT)) {
            ConfigurationCommit commit = new ConfigurationCommit(platform, Pause.sleeping());
            long end = System.nanoTime() + length.toNanos();
            for (int change = 1; System.nanoTime() - end < 0; change++) {
                Configuration configuration = SyntheticConfiguration.of(30, 16, 3, change);
                long revision =
                        commit.apply(configuration, OptionalLong.empty()).revision();
                long accepted = System.nanoTime();
                Rollout.await(revision, PATIENCE, () -> client.ask(vms), PAUSE_BETWEEN_QUESTIONS);
                times.recordValue(System.nanoTime() - accepted);
                Pause.sleeping().pause(Duration.ofMillis(random.nextInt(LONGEST_PAUSE_MILLISECONDS)));
            }
        }
        return times;
    }
}
