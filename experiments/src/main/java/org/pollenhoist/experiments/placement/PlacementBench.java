package org.pollenhoist.experiments.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.pollenhoist.experiments.Experiment;
import org.pollenhoist.experiments.ExperimentResult;
import org.pollenhoist.experiments.ExperimentResult.Direction;
import org.pollenhoist.experiments.ExperimentResult.Measure;
import org.pollenhoist.experiments.ExperimentResult.Reading;
import org.pollenhoist.placement.PolicySettings;

/** Attainment and moves of the placement against its baselines, on both deployments. */
public final class PlacementBench implements Experiment {

    private static final List<Double> UTILISATIONS = List.of(0.65, 0.8);

    /** Creates the experiment. */
    public PlacementBench() {}

    @Override
    public String name() {
        return "placement";
    }

    @Override
    public String description() {
        return "Attainment, moves and the worst team against static, on-demand and foreseeing placement (simulated).";
    }

    @Override
    public ExperimentResult run(long seed, Duration length, Progress progress) {
        List<Measure> measures = new ArrayList<>();
        for (PlacementDeployment deployment : List.of(PlacementDeployment.thalassa(), PlacementDeployment.gulposh())) {
            for (double utilisation : UTILISATIONS) {
                progress.report(deployment.name() + " at utilisation " + utilisation);
                PlacementResult result =
                        new PlacementExperiment(deployment, utilisation, PolicySettings.standard()).run(seed, length);
                String suffix = ", " + deployment.name() + " at " + utilisation;
                Direction higher = Direction.HIGHER_IS_BETTER;
                measures.add(measure("attainment" + suffix, "1", higher, result, StrategyOutcome::attainment));
                measures.add(measure(
                        "worst team's attainment" + suffix, "1", higher, result, StrategyOutcome::worstTeamAttainment));
                measures.add(measure(
                        "moves" + suffix, "1", Direction.LOWER_IS_BETTER, result, outcome -> (double) outcome.moves()));
            }
        }
        return new ExperimentResult(name(), seed, length, measures);
    }

    private static Measure measure(
            String name,
            String unit,
            Direction direction,
            PlacementResult result,
            ToDoubleFunction<StrategyOutcome> value) {
        return Measure.of(
                name,
                unit,
                direction,
                new Reading("pollenhoist", value.applyAsDouble(result.pollenhoist())),
                new Reading("static", value.applyAsDouble(result.fixed())),
                new Reading("on demand", value.applyAsDouble(result.onDemand())),
                new Reading("next minute known", value.applyAsDouble(result.perfectKnowledge())));
    }
}
