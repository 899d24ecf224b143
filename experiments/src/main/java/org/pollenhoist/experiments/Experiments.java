package org.pollenhoist.experiments;

import java.util.List;
import org.pollenhoist.experiments.configuration.ConfigurationSpreadExperiment;

/** All experiments that the tool knows. */
public final class Experiments {

    private Experiments() {}

    /**
     * Returns all experiments in the order in which they are listed and run.
     *
     * @return the experiments
     */
    public static List<Experiment> all() {
        return List.of(new EntryLatencyExperiment(), new FleetCostExperiment(), new ConfigurationSpreadExperiment());
    }
}
