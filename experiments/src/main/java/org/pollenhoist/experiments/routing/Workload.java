package org.pollenhoist.experiments.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.pollenhoist.common.AdapterName;
import org.pollenhoist.common.ModelName;

/** Generates the trace: bursty models, prompts with shared leading parts, answers of varied length. */
final class Workload {

    private static final double ARRIVALS_PER_SECOND_AND_ENGINE = 6.0;
    private static final Duration BURST_PERIOD = Duration.ofSeconds(20);
    private static final double BURST_SHARE = 0.25;
    private static final int GROUPS_PER_MODEL = 8;
    private static final int SHARED_BLOCKS_MINIMUM = 8;
    private static final int SHARED_BLOCKS_SPREAD = 24;
    private static final int OWN_BLOCKS_SPREAD = 6;
    private static final double ADAPTER_SHARE = 0.3;
    private static final int ADAPTERS_PER_MODEL = 3;
    private static final double MEAN_OUTPUT_TOKENS = 120;
    private static final int MAXIMUM_OUTPUT_TOKENS = 800;
    private static final double NANOSECONDS = 1e9;

    private final Deployment deployment;
    private final Random random;

    Workload(Deployment deployment, long seed) {
        this.deployment = deployment;
        this.random = new Random(seed);
    }

    List<SimulatedRequest> generate(Duration length) {
        double meanGap = NANOSECONDS / (ARRIVALS_PER_SECOND_AND_ENGINE * deployment.engines());
        List<SimulatedRequest> requests = new ArrayList<>();
        double time = 0;
        while (time < length.toNanos()) {
            time += -Math.log(1 - random.nextDouble()) * meanGap;
            requests.add(request((long) time));
        }
        return requests;
    }

    static ModelName model(int number) {
        return ModelName.of("model-" + number);
    }

    private SimulatedRequest request(long time) {
        int model = chooseModel(time);
        int group = skewed(GROUPS_PER_MODEL);
        Optional<AdapterName> adapter = random.nextDouble() < ADAPTER_SHARE
                ? Optional.of(AdapterName.of("adapter-" + model + "-" + random.nextInt(ADAPTERS_PER_MODEL)))
                : Optional.empty();
        return new SimulatedRequest(
                time,
                random.nextInt(deployment.vms()),
                model(model),
                adapter,
                prefixes(model, group),
                outputTokens(),
                random.nextInt(10));
    }

    /** Most requests go to models by a fixed skew; in each period one further model draws a quarter of all. */
    private int chooseModel(long time) {
        if (random.nextDouble() < BURST_SHARE) {
            long period = time / BURST_PERIOD.toNanos();
            return (int) Math.floorMod(period * 7, (long) deployment.models());
        }
        return skewed(deployment.models());
    }

    /** A number below the bound, small ones more often: the density falls about as one over the number. */
    private int skewed(int bound) {
        return (int) Math.floor(Math.pow(bound + 1.0, random.nextDouble())) - 1;
    }

    private List<Long> prefixes(int model, int group) {
        long seed = 1_000L * model + group;
        int shared = SHARED_BLOCKS_MINIMUM + (int) Math.floorMod(seed * 31, (long) SHARED_BLOCKS_SPREAD);
        int own = 1 + random.nextInt(OWN_BLOCKS_SPREAD);
        List<Long> prefixes = new ArrayList<>();
        for (int block = 0; block < shared; block++) {
            prefixes.add(seed * 1_000 + block);
        }
        for (int block = 0; block < own; block++) {
            prefixes.add(random.nextLong() | Long.MIN_VALUE);
        }
        return prefixes;
    }

    private int outputTokens() {
        double tokens = -Math.log(1 - random.nextDouble()) * MEAN_OUTPUT_TOKENS;
        return (int) Math.min(MAXIMUM_OUTPUT_TOKENS, 1 + tokens);
    }
}
