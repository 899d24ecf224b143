package org.pollenhoist.experiments.placement;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pollenhoist.configuration.Configuration;
import org.pollenhoist.placement.PolicySettings;

/**
 * Compares the product's placement with a static one, with loading on demand and with perfect knowledge of demand, on
 * simulated time.
 */
public final class PlacementExperiment {

    private static final Duration INSTANTLY = Duration.ofMillis(1);

    private final PlacementDeployment deployment;
    private final double utilisation;
    private final PolicySettings settings;

    /**
     * Creates the experiment.
     *
     * @param deployment the deployment
     * @param utilisation mean demand as a part of what all replicas can serve, 0 to 1
     * @param settings how the product's policy weighs
     */
    public PlacementExperiment(PlacementDeployment deployment, double utilisation, PolicySettings settings) {
        this.deployment = deployment;
        this.utilisation = utilisation;
        this.settings = settings;
    }

    /**
     * Runs all strategies on the same requests.
     *
     * @param seed the seed of sizes, demand and requests
     * @param length simulated time
     * @return what was measured
     */
    public PlacementResult run(long seed, Duration length) {
        Configuration configuration = deployment.configuration(seed);
        double seconds = length.toSeconds();
        Map<String, Double> rates = Map.of(
                deployment.largePool(), rate(deployment.largeReplicas()),
                deployment.smallPool(), rate(deployment.smallReplicas()));
        DemandTrace trace = new DemandTrace(seed, configuration.models().values(), rates, seconds);
        List<DemandTrace.Request> requests = trace.requests();
        PolicySettings knowing = new PolicySettings(
                settings.sequencesPerAccelerator(),
                settings.targetUtilisation(),
                INSTANTLY,
                INSTANTLY,
                settings.minimumGain(),
                settings.minimumResidence(),
                settings.largestMovesPerRound());
        return new PlacementResult(
                deployment.name(),
                seed,
                length,
                utilisation,
                deployment.largeReplicas() + deployment.smallReplicas(),
                measure(configuration, coordinated(settings, Optional.empty()), trace, requests, seconds),
                measure(configuration, new StaticStrategy(), trace, requests, seconds),
                measure(configuration, new OnDemandStrategy(), trace, requests, seconds),
                measure(configuration, coordinated(knowing, Optional.of(trace)), trace, requests, seconds));
    }

    private double rate(int replicas) {
        return utilisation * replicas * SimulatedReplica.PLACES / DemandTrace.MEAN_SERVICE_SECONDS;
    }

    private CoordinatedStrategy coordinated(PolicySettings weights, Optional<DemandTrace> known) {
        return new CoordinatedStrategy(deployment.failureDomains(), weights, known);
    }

    private static StrategyOutcome measure(
            Configuration configuration,
            PlacementStrategy strategy,
            DemandTrace trace,
            List<DemandTrace.Request> requests,
            double seconds) {
        PlacementSimulation simulation = new PlacementSimulation(configuration, strategy);
        InitialPlacement.apply(simulation, trace);
        return simulation.run(requests, seconds);
    }
}
