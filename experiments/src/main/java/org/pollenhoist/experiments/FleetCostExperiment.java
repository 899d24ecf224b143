package org.pollenhoist.experiments;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.pollenhoist.experiments.ExperimentResult.Direction;
import org.pollenhoist.experiments.ExperimentResult.Measure;
import org.pollenhoist.experiments.ExperimentResult.Reading;
import org.pollenhoist.experiments.processes.Fleet;
import org.pollenhoist.experiments.processes.FleetMember;
import org.pollenhoist.experiments.processes.FleetPlan;
import org.pollenhoist.experiments.processes.HttpCalls;
import org.pollenhoist.experiments.processes.WorkFolder;

/** Measures in real time what an idle entry VM costs, over the size of its fleet. */
public final class FleetCostExperiment implements Experiment {

    private static final int[] FLEET_SIZES = {3, 6, 9, 18};

    private static final Duration SETTLING = Duration.ofSeconds(30);

    private static final double BYTES_PER_KILOBYTE = 1_000;

    private static final double KILOBYTES_PER_MEGABYTE = 1_024;

    private static final double PERCENT = 100;

    private static final Pattern PEER_BYTES =
            Pattern.compile("pollenhoist_peer_bytes_total\\{direction=\"(?:sent|received)\"\\} ([0-9.E+]+)");

    private static final Pattern CALL_COUNT = Pattern.compile("\"[a-zA-Z]+\"\\s*:\\s*(\\d+)");

    private static final Pattern RESIDENT = Pattern.compile("VmRSS:\\s+(\\d+) kB");

    private final HttpCalls calls = new HttpCalls();

    /** Creates the experiment. */
    public FleetCostExperiment() {}

    @Override
    public String name() {
        return "fleet-cost";
    }

    @Override
    public String description() {
        return "What an idle entry VM costs at 3, 6, 9 and 18 VMs: processor, memory, bytes, platform calls.";
    }

    @Override
    public ExperimentResult run(long seed, Duration length, Progress progress) {
        List<Cost> costs = new ArrayList<>();
        for (int size : FLEET_SIZES) {
            progress.report("starting " + size + " entry processes");
            try (Fleet fleet = Fleet.start(FleetPlan.thalassa(size), WorkFolder.create())) {
                pause(SETTLING);
                progress.report("measuring " + size + " entry processes for " + length.toSeconds() + " s");
                costs.add(measure(fleet, length));
            }
        }
        return new ExperimentResult(
                name(),
                seed,
                length,
                List.of(
                        measure("processor per VM", "% of a core", costs, Cost::processorPercent),
                        measure("peer bytes per VM", "KB/s", costs, Cost::kilobytesPerSecond),
                        measure("platform calls of the fleet", "1/s", costs, Cost::platformCallsPerSecond),
                        measure("resident memory per VM", "MB", costs, Cost::residentMegabytes)));
    }

    private Cost measure(Fleet fleet, Duration length) {
        Sample before = sample(fleet);
        pause(length);
        Sample after = sample(fleet);
        double seconds = (after.nanoseconds() - before.nanoseconds()) / 1e9;
        int size = fleet.entries().size();
        return new Cost(
                size,
                PERCENT * (after.processorSeconds() - before.processorSeconds()) / seconds / size,
                (after.peerBytes() - before.peerBytes()) / BYTES_PER_KILOBYTE / seconds / size,
                (after.platformCalls() - before.platformCalls()) / seconds,
                after.residentMegabytes() / size);
    }

    private Sample sample(Fleet fleet) {
        double processorSeconds = 0;
        double residentMegabytes = 0;
        double peerBytes = 0;
        for (FleetMember entry : fleet.entries()) {
            long identifier = entry.process().pid();
            processorSeconds += ProcessHandle.of(identifier)
                            .flatMap(handle -> handle.info().totalCpuDuration())
                            .orElse(Duration.ZERO)
                            .toNanos()
                    / 1e9;
            residentMegabytes += sum(RESIDENT, processStatus(identifier)) / KILOBYTES_PER_MEGABYTE;
            peerBytes += sum(PEER_BYTES, calls.require("GET", entry.uri("/metrics"), ""));
        }
        double platformCalls =
                sum(CALL_COUNT, calls.require("GET", fleet.platform().uri("/faults/counts"), ""));
        return new Sample(System.nanoTime(), processorSeconds, residentMegabytes, peerBytes, platformCalls);
    }

    private static double sum(Pattern pattern, String text) {
        double sum = 0;
        Matcher found = pattern.matcher(text);
        while (found.find()) {
            sum += Double.parseDouble(found.group(1));
        }
        return sum;
    }

    private static String processStatus(long identifier) {
        try {
            return Files.readString(Path.of("/proc", Long.toString(identifier), "status"));
        } catch (IOException e) {
            throw new UncheckedIOException("no status of process " + identifier, e);
        }
    }

    private static Measure measure(String name, String unit, List<Cost> costs, ToDoubleFunction<Cost> value) {
        List<Reading> readings = costs.stream()
                .map(cost -> new Reading(cost.entryVms() + " VMs", value.applyAsDouble(cost)))
                .toList();
        return new Measure(name, unit, Direction.LOWER_IS_BETTER, readings);
    }

    private static void pause(Duration duration) {
        try {
            Thread.sleep(duration.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while measuring", e);
        }
    }

    private record Sample(
            long nanoseconds,
            double processorSeconds,
            double residentMegabytes,
            double peerBytes,
            double platformCalls) {}

    private record Cost(
            int entryVms,
            double processorPercent,
            double kilobytesPerSecond,
            double platformCallsPerSecond,
            double residentMegabytes) {}
}
