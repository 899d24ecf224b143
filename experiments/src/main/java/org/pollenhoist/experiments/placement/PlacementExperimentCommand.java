package org.pollenhoist.experiments.placement;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import org.pollenhoist.placement.PolicySettings;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the placement experiment on both deployments and prints one line for each run. */
@Command(name = "placement-experiment", description = "Measures placement against baselines.")
public final class PlacementExperimentCommand implements Callable<Integer> {

    @Option(names = "--seeds", description = "Seeds, separated by commas.", split = ",", defaultValue = "1,2,3")
    private List<Long> seeds;

    @Option(names = "--minutes", description = "Simulated minutes.", defaultValue = "120")
    private int minutes;

    @Option(names = "--utilisation", description = "Mean demand, 0 to 1.", split = ",", defaultValue = "0.5,0.6,0.7")
    private List<Double> utilisations;

    @Option(names = "--deployment", description = "thalassa, gulposh or both.", defaultValue = "both")
    private String deploymentName;

    private PlacementExperimentCommand() {}

    /**
     * Runs the command.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new PlacementExperimentCommand()).execute(arguments));
    }

    @Override
    public Integer call() {
        ((Logger) LoggerFactory.getLogger("pollenhoist.placement")).setLevel(Level.WARN);
        for (PlacementDeployment deployment : List.of(PlacementDeployment.thalassa(), PlacementDeployment.gulposh())) {
            if (!deploymentName.equals("both") && !deploymentName.equals(deployment.name())) {
                continue;
            }
            for (double utilisation : utilisations) {
                for (long seed : seeds) {
                    PlacementExperiment experiment =
                            new PlacementExperiment(deployment, utilisation, PolicySettings.standard());
                    PlacementResult result = experiment.run(seed, Duration.ofMinutes(minutes));
                    System.out.println(result.line());
                }
            }
        }
        return 0;
    }
}
