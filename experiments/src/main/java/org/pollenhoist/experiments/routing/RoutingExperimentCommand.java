package org.pollenhoist.experiments.routing;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the routing experiment over some seeds and prints a line for each way to choose. */
@Command(name = "routing", mixinStandardHelpOptions = true, description = "Compares ways to route.")
public final class RoutingExperimentCommand implements Callable<Integer> {

    @Option(names = "--seeds", description = "How many seeds, from 1 on.", defaultValue = "3")
    private int seeds;

    @Option(names = "--seconds", description = "Simulated seconds of each run.", defaultValue = "200")
    private int seconds;

    @Option(names = "--report-interval", description = "Milliseconds between load reports.", defaultValue = "250")
    private int reportInterval;

    /** Creates the command with its options not yet set. */
    public RoutingExperimentCommand() {}

    /**
     * Runs the command.
     *
     * @param arguments the options
     */
    public static void main(String[] arguments) {
        ((Logger) LoggerFactory.getLogger("pollenhoist")).setLevel(Level.WARN);
        System.exit(new CommandLine(new RoutingExperimentCommand()).execute(arguments));
    }

    @Override
    public Integer call() {
        for (Deployment deployment : List.of(Deployment.thalassa(), Deployment.gulposh())) {
            Deployment measured = deployment.withReportInterval(Duration.ofMillis(reportInterval));
            for (long seed = 1; seed <= seeds; seed++) {
                print(RoutingExperiment.of(measured).run(seed, Duration.ofSeconds(seconds)));
            }
        }
        return 0;
    }

    private static void print(RoutingResult result) {
        for (StrategyResult strategy : result.strategies()) {
            System.out.println("deployment=" + result.deployment() + " seed=" + result.seed() + " " + strategy.line());
        }
    }
}
