package org.pollenhoist.experiments.placement;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.configuration.Model;
import org.pollenhoist.configuration.Upstream;
import org.pollenhoist.placement.DemandDrivenPolicy;
import org.pollenhoist.placement.DomainState;
import org.pollenhoist.placement.LedgerCodec;
import org.pollenhoist.placement.PlacementPolicy;
import org.pollenhoist.placement.PolicyMemory;
import org.pollenhoist.placement.PolicySettings;
import org.pollenhoist.placement.UpstreamLedger;
import org.pollenhoist.placement.UpstreamState;
import org.pollenhoist.upstream.EngineItem;
import org.pollenhoist.upstream.EngineReport;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures the processor time of one decision of one failure domain and the bytes of its ledgers, over its size. */
@Command(name = "placement-cost", description = "Measures the cost of a placement decision over the domain's size.")
public final class PlacementCostCommand implements Callable<Integer> {

    private static final int MODELS = 420;
    private static final int COPIES_OF_UPSTREAM = 6;
    private static final long MODEL_BYTES = 80_000_000_000L;
    private static final long UPSTREAM_BYTES = 7 * MODEL_BYTES;
    private static final int ACCELERATORS = 8;
    private static final int WARM_UP_ROUNDS = 200;
    private static final int ROUNDS = 400;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    @Option(names = "--seed", description = "The seed.", defaultValue = "1")
    private long seed;

    @Option(names = "--upstreams", description = "Sizes.", split = ",", defaultValue = "17,35,69,138,276")
    private List<Integer> sizes;

    private PlacementCostCommand() {}

    /**
     * Runs the command.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new PlacementCostCommand()).execute(arguments));
    }

    @Override
    public Integer call() {
        ((Logger) LoggerFactory.getLogger("pollenhoist.placement")).setLevel(Level.WARN);
        for (int size : sizes) {
            measure(size);
        }
        return 0;
    }

    private void measure(int size) {
        Random random = new Random(seed);
        DomainState state = state(size, random);
        PlacementPolicy policy = new DemandDrivenPolicy(PolicySettings.standard());
        PolicyMemory memory = PolicyMemory.none();
        int proposed = 0;
        long began = 0;
        for (int round = 0; round < WARM_UP_ROUNDS + ROUNDS; round++) {
            if (round == WARM_UP_ROUNDS) {
                began = System.nanoTime();
            }
            PlacementPolicy.Proposal proposal =
                    policy.decide(state, memory, MonotonicTime.of(Duration.ofSeconds(round)));
            memory = proposal.memory();
            proposed = proposal.moves().size();
        }
        double milliseconds = (System.nanoTime() - began) / NANOSECONDS_PER_MILLISECOND / ROUNDS;
        int ledgerBytes = state.upstreams().values().stream()
                .mapToInt(upstream -> LedgerCodec.encode(upstream.ledger()).length)
                .sum();
        System.out.println(String.format(
                Locale.ROOT,
                "event=placement_cost seed=%d upstreams=%d models=%d decide_ms=%.3f ledger_bytes=%d moves=%d",
                seed,
                size,
                MODELS,
                milliseconds,
                ledgerBytes,
                proposed));
    }

    private static DomainState state(int size, Random random) {
        TreeMap<ModelName, Model> models = new TreeMap<>();
        Map<ModelName, Double> demand = new HashMap<>();
        Map<ModelName, Integer> required = new HashMap<>();
        double sequences = 0.6 * size * ACCELERATORS * PolicySettings.standard().sequencesPerAccelerator();
        for (int index = 0; index < MODELS; index++) {
            ModelName name = ModelName.of("m" + index);
            models.put(name, new Model(name, "1", "pool", MODEL_BYTES, Set.of(), 0));
            demand.put(name, 2 * random.nextDouble() * sequences / MODELS);
            if (index < size * COPIES_OF_UPSTREAM / 2) {
                required.put(name, 1);
            }
        }
        List<ModelName> names = new ArrayList<>(models.keySet());
        TreeMap<UpstreamName, UpstreamState> upstreams = new TreeMap<>();
        for (int index = 0; index < size; index++) {
            UpstreamState upstream = upstream(index, names, random);
            upstreams.put(upstream.name(), upstream);
        }
        return new DomainState(
                FailureDomain.of("domain"), upstreams, models, required, Map.of(), new TreeSet<>(), demand);
    }

    private static UpstreamState upstream(int index, List<ModelName> names, Random random) {
        UpstreamName name = UpstreamName.of("u" + index);
        Upstream upstream = new Upstream(
                name,
                Upstream.Kind.ENGINE,
                "pool",
                "127.0.0.1",
                1,
                FailureDomain.of("domain"),
                ACCELERATORS,
                UPSTREAM_BYTES,
                true);
        TreeSet<ModelName> held = new TreeSet<>();
        while (held.size() < COPIES_OF_UPSTREAM) {
            held.add(names.get(random.nextInt(names.size())));
        }
        List<EngineReport.Resident> residents = held.stream()
                .map(model -> new EngineReport.Resident(
                        EngineItem.model(model, "1"), MODEL_BYTES, EngineReport.ResidentState.READY))
                .toList();
        EngineReport report = new EngineReport(
                name.value(), "i1", 1, Duration.ZERO, 0, 0, UPSTREAM_BYTES, 0, false, residents, List.of(), 0);
        UpstreamLedger ledger = UpstreamLedger.empty(name, UPSTREAM_BYTES).afterReport(report, true, Set.of());
        return UpstreamState.of(upstream, ledger, Optional.of(report));
    }
}
