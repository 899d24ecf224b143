package org.pollenhoist.experiments.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.pollenhoist.experiments.Experiment;
import org.pollenhoist.experiments.ExperimentResult;
import org.pollenhoist.experiments.ExperimentResult.Direction;
import org.pollenhoist.experiments.ExperimentResult.Measure;
import org.pollenhoist.experiments.ExperimentResult.Reading;

/** Time to the first token and prefix hits of the router against simple ways to choose, on both deployments. */
public final class RoutingBench implements Experiment {

    /** Creates the experiment. */
    public RoutingBench() {}

    @Override
    public String name() {
        return "routing";
    }

    @Override
    public String description() {
        return "First token and prefix hits against random, round robin and least reported (simulated).";
    }

    @Override
    public ExperimentResult run(long seed, Duration length, Progress progress) {
        List<Measure> measures = new ArrayList<>();
        for (Deployment deployment : List.of(Deployment.thalassa(), Deployment.gulposh())) {
            progress.report(deployment.name());
            RoutingResult result = RoutingExperiment.of(deployment).run(seed, length);
            String suffix = ", " + deployment.name();
            Direction lower = Direction.LOWER_IS_BETTER;
            measures.add(measure("first token p50" + suffix, "ms", lower, result, StrategyResult::p50Milliseconds));
            measures.add(measure("first token p95" + suffix, "ms", lower, result, StrategyResult::p95Milliseconds));
            measures.add(measure("first token p99" + suffix, "ms", lower, result, StrategyResult::p99Milliseconds));
            measures.add(measure(
                    "prefix hits" + suffix, "1", Direction.HIGHER_IS_BETTER, result, StrategyResult::prefixHitRate));
        }
        return new ExperimentResult(name(), seed, length, measures);
    }

    private static Measure measure(
            String name,
            String unit,
            Direction direction,
            RoutingResult result,
            ToDoubleFunction<StrategyResult> value) {
        List<Reading> readings = result.strategies().stream()
                .map(strategy -> new Reading(strategy.strategy(), value.applyAsDouble(strategy)))
                .toList();
        return new Measure(name, unit, direction, readings);
    }
}
