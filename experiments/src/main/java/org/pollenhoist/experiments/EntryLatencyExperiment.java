package org.pollenhoist.experiments;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.pollenhoist.experiments.ExperimentResult.Direction;
import org.pollenhoist.experiments.ExperimentResult.Measure;
import org.pollenhoist.experiments.ExperimentResult.Reading;
import org.pollenhoist.experiments.processes.Fleet;
import org.pollenhoist.experiments.processes.FleetMember;
import org.pollenhoist.experiments.processes.FleetPlan;
import org.pollenhoist.experiments.processes.HttpCalls;
import org.pollenhoist.experiments.processes.WorkFolder;

/** Measures in real time, over real processes, what the entry process adds to the direct call to an engine. */
public final class EntryLatencyExperiment implements Experiment {

    private static final Duration HIGHEST_LATENCY = Duration.ofSeconds(60);
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int WARM_UP_CALLS = 2000;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;
    private static final double MEDIAN = 50;
    private static final double HIGH_PERCENTILE = 95;
    private static final String PATH = "/v1/chat/completions";

    /** Creates the experiment. */
    public EntryLatencyExperiment() {}

    @Override
    public String name() {
        return "entry-latency";
    }

    @Override
    public String description() {
        return "Latency of a chat completion of one token, through an entry process and directly, in real time.";
    }

    @Override
    public ExperimentResult run(long seed, Duration length, Progress progress) {
        FleetPlan plan = FleetPlan.thalassa(1)
                .withEngines(1, "--first-token-millis", "0", "--cached-first-token-millis", "0", "--token-millis", "0");
        progress.report("starting one entry process and its surroundings");
        try (Fleet fleet = Fleet.start(plan, WorkFolder.create())) {
            String key = fleet.giveKey("crews").reveal();
            fleet.awaitKey(key);
            return measure(fleet, key, seed, length, progress);
        }
    }

    private ExperimentResult measure(Fleet fleet, String key, long seed, Duration length, Progress progress) {
        FleetMember entry = fleet.entries().get(0);
        FleetMember engine = fleet.engines().get(0);
        HttpCalls calls = new HttpCalls();
        Random random = new Random(seed);
        Histogram through = histogram();
        Histogram direct = histogram();
        for (int call = 0; call < WARM_UP_CALLS; call++) {
            measureOne(calls, entry.uri(PATH), key, random, histogram());
            measureOne(calls, engine.uri(PATH), key, random, histogram());
        }
        progress.report("measuring for " + length.toSeconds() + " s");
        long end = System.nanoTime() + length.toNanos();
        while (System.nanoTime() - end < 0) {
            measureOne(calls, entry.uri(PATH), key, random, through);
            measureOne(calls, engine.uri(PATH), key, random, direct);
        }
        return new ExperimentResult(
                name(),
                seed,
                length,
                List.of(
                        percentile("latency p50", MEDIAN, through, direct),
                        percentile("latency p95", HIGH_PERCENTILE, through, direct),
                        Measure.of(
                                "calls",
                                "calls",
                                Direction.HIGHER_IS_BETTER,
                                new Reading("pollenhoist", through.getTotalCount()),
                                new Reading("direct", direct.getTotalCount()))));
    }

    private static void measureOne(HttpCalls calls, URI uri, String key, Random random, Histogram histogram) {
        String marker = "m" + random.nextInt(Integer.MAX_VALUE);
        String body = "{\"model\":\"scribe\",\"max_tokens\":1,\"messages\":[{\"role\":\"user\",\"content\":\"marker="
                + marker + "\"}]}";
        long begin = System.nanoTime();
        String answer =
                calls.require("POST", uri, body, "Content-Type", "application/json", "Authorization", "Bearer " + key);
        histogram.recordValue(System.nanoTime() - begin);
        if (!answer.contains(marker)) {
            throw ExperimentException.crossedAnswer(marker, answer);
        }
    }

    private static Measure percentile(String name, double percentile, Histogram through, Histogram direct) {
        return Measure.of(
                name,
                "ms",
                Direction.LOWER_IS_BETTER,
                new Reading("pollenhoist", through.getValueAtPercentile(percentile) / NANOSECONDS_PER_MILLISECOND),
                new Reading("direct", direct.getValueAtPercentile(percentile) / NANOSECONDS_PER_MILLISECOND));
    }

    private static Histogram histogram() {
        return new Histogram(HIGHEST_LATENCY.toNanos(), SIGNIFICANT_DIGITS);
    }
}
