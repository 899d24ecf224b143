package org.pollenhoist.experiments.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.IntFunction;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.configuration.Upstream;
import org.pollenhoist.routing.RoutingPolicy;

/**
 * Compares the router with random choice, round robin and the least loaded by report, over the same trace.
 *
 * <p>Example: {@code RoutingExperiment.of(Deployment.thalassa()).run(1, Duration.ofMinutes(5))}.
 */
public final class RoutingExperiment {

    static final String POOL = "pool";

    private static final int MODELS_PER_ENGINE = 10;
    private static final long ENGINE_MEMORY_BYTES = 80L << 30;

    private final Deployment deployment;
    private final RoutingPolicy policy;

    private RoutingExperiment(Deployment deployment, RoutingPolicy policy) {
        this.deployment = deployment;
        this.policy = policy;
    }

    /**
     * Returns the experiment with the daemons' prices.
     *
     * @param deployment the counts
     * @return the experiment
     */
    public static RoutingExperiment of(Deployment deployment) {
        return new RoutingExperiment(deployment, RoutingPolicy.standard());
    }

    /**
     * Returns the same experiment with other prices.
     *
     * @param otherPolicy the prices
     * @return the experiment
     */
    public RoutingExperiment withPolicy(RoutingPolicy otherPolicy) {
        return new RoutingExperiment(deployment, otherPolicy);
    }

    /**
     * Runs all ways to choose over one trace.
     *
     * @param seed the seed of trace and choices
     * @param length simulated time of the trace
     * @return the results
     */
    public RoutingResult run(long seed, Duration length) {
        List<SimulatedRequest> trace = new Workload(deployment, seed).generate(length);
        List<StrategyResult> results = new ArrayList<>();
        for (BaselineStrategy.Kind kind : BaselineStrategy.Kind.values()) {
            results.add(run(
                    kind.name().toLowerCase(java.util.Locale.ROOT),
                    trace,
                    seed,
                    vm -> new BaselineStrategy(kind, seed * 1_000 + vm)));
        }
        List<Upstream> upstreams = upstreams();
        results.add(run(
                "router",
                trace,
                seed,
                vm -> new RouterStrategy(policy, upstreams, deployment.domainOf(vm), seed * 1_000 + vm)));
        return new RoutingResult(deployment.name(), seed, results);
    }

    private StrategyResult run(
            String name, List<SimulatedRequest> trace, long seed, IntFunction<RoutingStrategy> strategies) {
        List<RoutingStrategy> vms = new ArrayList<>();
        for (int vm = 0; vm < deployment.vms(); vm++) {
            vms.add(strategies.apply(vm));
        }
        return new Simulation(deployment, upstreams(), engines(), trace, vms, new Random(seed)).run(name);
    }

    private List<Upstream> upstreams() {
        List<Upstream> upstreams = new ArrayList<>();
        for (int number = 0; number < deployment.engines(); number++) {
            upstreams.add(new Upstream(
                    UpstreamName.of("engine-" + number),
                    Upstream.Kind.ENGINE,
                    POOL,
                    "127.0.0.1",
                    1,
                    deployment.domainOf(number),
                    1,
                    ENGINE_MEMORY_BYTES,
                    true));
        }
        return upstreams;
    }

    /** Popular models get more copies: the places are dealt out by a weight that falls with the model's number. */
    private List<SimulatedEngine> engines() {
        List<SimulatedEngine> engines = new ArrayList<>();
        for (int number = 0; number < deployment.engines(); number++) {
            engines.add(new SimulatedEngine(deployment.adapterLoad().toNanos()));
        }
        int places = MODELS_PER_ENGINE * deployment.engines();
        double weights = 0;
        for (int model = 0; model < deployment.models(); model++) {
            weights += weight(model);
        }
        int next = 0;
        for (int model = 0; model < deployment.models(); model++) {
            int copies =
                    (int) Math.max(2, Math.min(deployment.engines(), Math.round(places * weight(model) / weights)));
            for (int copy = 0; copy < copies; copy++) {
                engines.get(next++ % engines.size()).models().add(Workload.model(model));
            }
        }
        return engines;
    }

    private static double weight(int model) {
        return 1 / Math.sqrt(model + 1.0);
    }
}
