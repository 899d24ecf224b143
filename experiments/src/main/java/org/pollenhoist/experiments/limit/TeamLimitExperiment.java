package org.pollenhoist.experiments.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.experiments.Experiment;
import org.pollenhoist.experiments.ExperimentResult;
import org.pollenhoist.experiments.ExperimentResult.Direction;
import org.pollenhoist.experiments.ExperimentResult.Measure;
import org.pollenhoist.experiments.ExperimentResult.Reading;
import org.pollenhoist.experiments.limit.LimitExperiment.Scenario;

/**
 * Requests refused although inside their team's rate, against a central counter with perfect knowledge and fixed equal
 * parts, in simulated time.
 */
public final class TeamLimitExperiment implements Experiment {

    private static final double PER_THOUSAND = 1_000;
    private static final double PERCENT = 100;
    private static final List<FleetShape> SHAPES = List.of(FleetShape.of(9, 3), FleetShape.of(8, 4));
    private static final List<Scenario> SCENARIOS =
            List.of(Scenario.STEADY, Scenario.MOVING, Scenario.PLATFORM_OUTAGE, Scenario.FAULTS);

    @Override
    public String name() {
        return "team-limits";
    }

    @Override
    public String description() {
        return "Wrongful refusals and the worst excess over burst and rate, with baselines (simulated).";
    }

    @Override
    public ExperimentResult run(long seed, Duration length, Progress progress) {
        List<Measure> measures = new ArrayList<>();
        for (FleetShape shape : SHAPES) {
            for (Scenario scenario : SCENARIOS) {
                progress.report(shape.vms() + " VMs, " + scenario);
                add(measures, shape, LimitExperiment.of(scenario, shape).run(seed, length));
            }
            progress.report(shape.vms() + " VMs, greedy team");
            measures.add(worstServed(shape, seed, length));
        }
        return new ExperimentResult(name(), seed, length, measures);
    }

    private static void add(List<Measure> measures, FleetShape shape, LimitResult result) {
        String suffix = ", " + result.scenario() + ", " + shape.vms() + " VMs in " + shape.domains();
        double requests = Math.max(1, result.requests());
        if (result.scenario() != Scenario.FAULTS) {
            measures.add(Measure.of(
                    "wrongful refusals" + suffix,
                    "per 1000",
                    Direction.LOWER_IS_BETTER,
                    new Reading("pollenhoist", PER_THOUSAND * result.wrongfulPart()),
                    new Reading("central counter", PER_THOUSAND * result.centralRefused() / requests),
                    new Reading("equal split", PER_THOUSAND * result.equalSplitWrongfulPart())));
        }
        measures.add(Measure.of(
                "worst excess over all intervals, part of the burst" + suffix,
                "1",
                Direction.LOWER_IS_BETTER,
                new Reading("pollenhoist", result.largestExcess())));
    }

    private static Measure worstServed(FleetShape shape, long seed, Duration length) {
        Map<TeamName, Double> without = LimitExperiment.of(Scenario.WITHOUT_GREEDY_TEAM, shape)
                .run(seed, length)
                .usedTokens();
        Map<TeamName, Double> with = LimitExperiment.of(Scenario.GREEDY_TEAM, shape)
                .run(seed, length)
                .usedTokens();
        double worst = without.keySet().stream()
                .filter(team -> !team.equals(TeamDemands.GREEDY))
                .mapToDouble(team -> with.get(team) / without.get(team))
                .min()
                .orElse(1);
        return Measure.of(
                "worst-served other team beside one at five times its rate, " + shape.vms() + " VMs",
                "%",
                Direction.HIGHER_IS_BETTER,
                new Reading("pollenhoist", PERCENT * worst));
    }
}
