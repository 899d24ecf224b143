package org.pollenhoist.experiments;

import java.util.ArrayList;
import java.util.List;
import org.pollenhoist.experiments.configuration.ConfigurationRolloutExperiment;
import org.pollenhoist.experiments.configuration.ConfigurationSizeExperiment;
import org.pollenhoist.experiments.configuration.ConfigurationSpreadExperiment;
import org.pollenhoist.experiments.limit.TeamLimitCostExperiment;
import org.pollenhoist.experiments.limit.TeamLimitExperiment;
import org.pollenhoist.experiments.placement.PlacementBench;
import org.pollenhoist.experiments.routing.RoutingBench;
import org.pollenhoist.experiments.serving.HeavyDayExperiment;

/** All experiments that the tool knows. */
public final class Experiments {

    private Experiments() {}

    /**
     * Returns all experiments in the order in which they are listed and run.
     *
     * @return the experiments
     */
    public static List<Experiment> all() {
        List<Experiment> experiments = new ArrayList<>();
        experiments.add(new EntryLatencyExperiment());
        experiments.add(new FleetCostExperiment());
        experiments.add(new ConfigurationSpreadExperiment());
        experiments.add(new ConfigurationRolloutExperiment());
        experiments.add(new ConfigurationSizeExperiment());
        experiments.add(new TeamLimitExperiment());
        experiments.add(new TeamLimitCostExperiment());
        experiments.add(new RoutingBench());
        experiments.add(new PlacementBench());
        experiments.add(new HeavyDayExperiment());
        return List.copyOf(experiments);
    }
}
