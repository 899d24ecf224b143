package org.pollenhoist.experiments.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.configuration.Model;
import org.pollenhoist.configuration.Upstream;
import org.pollenhoist.placement.CoordinatorSettings;
import org.pollenhoist.placement.DemandDrivenPolicy;
import org.pollenhoist.placement.PlacementCoordinator;
import org.pollenhoist.placement.PolicySettings;
import org.pollenhoist.placement.RoundInput;
import org.pollenhoist.upstream.EngineControl;
import org.pollenhoist.upstream.EngineItem;
import org.pollenhoist.upstream.EngineOrder;
import org.pollenhoist.upstream.EngineReport;
import org.pollenhoist.upstream.OrderAnswer;

/** The product's coordinators, one for each failure domain, unchanged. */
final class CoordinatedStrategy implements PlacementStrategy {

    private static final double LOOK_AHEAD_SECONDS = 60;
    private static final int LOOK_AHEAD_STEPS = 4;
    private static final double MILLISECONDS_PER_SECOND = 1000;

    private final List<PlacementCoordinator> coordinators = new ArrayList<>();
    private final SimulatedPlatform platform = new SimulatedPlatform();
    private final Optional<DemandTrace> knownDemand;
    private final Map<ModelName, Double> laggedDemand = new HashMap<>();
    private final Map<Upstream, Map<String, EngineOrder>> orders = new HashMap<>();
    private final Map<Upstream, Long> highestFencing = new HashMap<>();
    private PlacementSimulation simulation;
    private double now;
    private long sequence;

    /** Creates the strategy; with a trace, it plans with perfect knowledge of the demand. */
    CoordinatedStrategy(List<FailureDomain> domains, PolicySettings settings, Optional<DemandTrace> knownDemand) {
        this.knownDemand = knownDemand;
        for (FailureDomain domain : domains) {
            coordinators.add(new PlacementCoordinator(
                    domain,
                    "p-" + domain,
                    platform,
                    new Engines(),
                    new DemandDrivenPolicy(settings),
                    CoordinatorSettings.standard()));
        }
    }

    SimulatedPlatform platform() {
        return platform;
    }

    @Override
    public void onShortage(PlacementSimulation running, ModelName model, double time) {
        // The coordinators see the shortage in the next report.
    }

    @Override
    public void everySecond(PlacementSimulation running, double time) {
        simulation = running;
        now = time;
        MonotonicTime monotonic = MonotonicTime.of(Duration.ofMillis((long) (time * MILLISECONDS_PER_SECOND)));
        Map<ModelName, Double> demand = new HashMap<>();
        for (ModelName model : running.configuration().models().keySet()) {
            double measured = knownDemand
                    .map(trace -> ahead(trace, model))
                    .orElseGet(() -> laggedDemand.getOrDefault(model, 0.0));
            demand.put(model, measured / coordinators.size());
            laggedDemand.put(model, (double) running.sequences(model));
        }
        RoundInput input = new RoundInput(running.configuration(), 1, demand);
        coordinators.forEach(coordinator -> coordinator.round(input, monotonic));
    }

    private double ahead(DemandTrace trace, ModelName model) {
        double largest = 0;
        for (int step = 0; step <= LOOK_AHEAD_STEPS; step++) {
            largest = Math.max(largest, trace.rate(model, now + LOOK_AHEAD_SECONDS * step / LOOK_AHEAD_STEPS));
        }
        return largest * DemandTrace.MEAN_SERVICE_SECONDS;
    }

    /** The replicas as engines. */
    private final class Engines implements EngineControl {

        @Override
        public Optional<EngineReport> report(Upstream upstream) {
            SimulatedReplica replica = simulation.replica(upstream);
            sequence++;
            List<EngineReport.Resident> residents = new ArrayList<>();
            replica.states().forEach((name, state) -> {
                Model model = simulation.model(name);
                residents.add(new EngineReport.Resident(
                        EngineItem.model(name, model.version()), model.memoryBytes(), residentState(state)));
                model.adapters()
                        .forEach(adapter -> residents.add(new EngineReport.Resident(
                                EngineItem.adapter(name, adapter, model.version()),
                                model.adapterMemoryBytes(),
                                residentState(state))));
            });
            List<EngineReport.ReportedOrder> listed = new ArrayList<>();
            orders.getOrDefault(upstream, Map.of())
                    .forEach((identifier, order) ->
                            listed.add(new EngineReport.ReportedOrder(identifier, orderState(replica, order))));
            return Optional.of(new EngineReport(
                    upstream.name().value(),
                    "i1",
                    sequence,
                    Duration.ZERO,
                    replica.busy(),
                    0,
                    upstream.memoryBytes(),
                    0,
                    false,
                    residents,
                    listed,
                    highestFencing.getOrDefault(upstream, 0L)));
        }

        private EngineReport.ResidentState residentState(SimulatedReplica.State state) {
            return switch (state) {
                case LOADING -> EngineReport.ResidentState.LOADING;
                case READY -> EngineReport.ResidentState.READY;
                case UNLOADING -> EngineReport.ResidentState.UNLOADING;
            };
        }

        private EngineReport.OrderState orderState(SimulatedReplica replica, EngineOrder order) {
            ModelName name = ModelName.of(order.item().modelName());
            SimulatedReplica.State expected =
                    order.isLoad() ? SimulatedReplica.State.LOADING : SimulatedReplica.State.UNLOADING;
            boolean isModel = order.item().kind() == EngineItem.Kind.MODEL;
            boolean isRunning = isModel && replica.states().get(name) == expected;
            return isRunning ? EngineReport.OrderState.RUNNING : EngineReport.OrderState.DONE;
        }

        @Override
        public OrderAnswer send(Upstream upstream, String incarnation, EngineOrder order, MonotonicTime notAfter) {
            SimulatedReplica replica = simulation.replica(upstream);
            highestFencing.merge(upstream, order.fencing(), Math::max);
            orders.computeIfAbsent(upstream, key -> new RecentOrders()).put(order.identifier(), order);
            ModelName name = ModelName.of(order.item().modelName());
            if (order.item().kind() == EngineItem.Kind.MODEL) {
                if (order.isLoad()) {
                    simulation.load(replica, simulation.model(name), now);
                } else {
                    replica.setState(name, SimulatedReplica.State.UNLOADING);
                }
            }
            return new OrderAnswer.Accepted();
        }
    }

    /** The latest orders of an engine. */
    private static final class RecentOrders extends LinkedHashMap<String, EngineOrder> {

        private static final long serialVersionUID = 1L;
        private static final int KEPT = 200;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, EngineOrder> eldest) {
            return size() > KEPT;
        }
    }
}
