package org.pollenhoist.experiments.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Queue;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.configuration.Configuration;
import org.pollenhoist.configuration.Model;
import org.pollenhoist.configuration.Upstream;

/** Runs one strategy over one trace on simulated time. */
final class PlacementSimulation {

    /** First token at the latest after this many seconds, less what the prompt itself takes. */
    private static final double FIRST_TOKEN_SECONDS = 1.3;

    private static final double PROMPT_SECONDS = 0.25;
    private static final double GIVE_UP_SECONDS = 10;
    private static final double LOAD_BYTES_PER_SECOND = 2e9;

    private final Configuration configuration;
    private final PlacementStrategy strategy;
    private final List<SimulatedReplica> replicas = new ArrayList<>();
    private final Map<ModelName, Queue<DemandTrace.Request>> waiting = new HashMap<>();
    private final Map<ModelName, Integer> runningByModel = new HashMap<>();
    private final PriorityQueue<End> ends = new PriorityQueue<>(Comparator.comparingDouble(End::at));
    private final Queue<Load> queuedLoads = new ArrayDeque<>();
    private final List<Load> activeLoads = new ArrayList<>();
    private final StrategyOutcome.Counter counter = new StrategyOutcome.Counter();
    private double nextLoadStart;

    PlacementSimulation(Configuration configuration, PlacementStrategy strategy) {
        this.configuration = configuration;
        this.strategy = strategy;
        configuration.upstreams().values().forEach(upstream -> replicas.add(new SimulatedReplica(upstream)));
        configuration.models().keySet().forEach(model -> waiting.put(model, new ArrayDeque<>()));
    }

    private record End(double at, SimulatedReplica replica, ModelName model) {}

    private static final class Load {
        private final SimulatedReplica replica;
        private final Model model;
        private double bytesLeft;

        Load(SimulatedReplica replica, Model model) {
            this.replica = replica;
            this.model = model;
            this.bytesLeft = model.memoryBytes();
        }
    }

    Configuration configuration() {
        return configuration;
    }

    Model model(ModelName name) {
        return configuration.models().get(name);
    }

    List<SimulatedReplica> replicas() {
        return replicas;
    }

    List<SimulatedReplica> replicas(Model model) {
        return replicas.stream()
                .filter(replica -> replica.upstream().pool().equals(model.pool()))
                .toList();
    }

    SimulatedReplica replica(Upstream upstream) {
        return replicas.stream()
                .filter(replica -> replica.upstream().name().equals(upstream.name()))
                .findFirst()
                .orElseThrow();
    }

    boolean isLoading(ModelName model) {
        return replicas.stream().anyMatch(replica -> replica.states().get(model) == SimulatedReplica.State.LOADING);
    }

    /** Returns the requests of a model that run or wait. */
    int sequences(ModelName model) {
        return runningByModel.getOrDefault(model, 0) + waiting.get(model).size();
    }

    void load(SimulatedReplica replica, Model model, double now) {
        replica.place(model, SimulatedReplica.State.LOADING, now);
        queuedLoads.add(new Load(replica, model));
        counter.move();
    }

    StrategyOutcome run(List<DemandTrace.Request> requests, double seconds) {
        int next = 0;
        double step = 0.1;
        int steps = (int) Math.round(seconds / step);
        for (int index = 0; index < steps; index++) {
            double now = index * step;
            endRequests(now);
            progressLoads(now, step);
            replicas.forEach(SimulatedReplica::removeIdle);
            if (index % 10 == 0) {
                strategy.everySecond(this, now);
                countUnreachable();
            }
            startWaiting(now);
            while (next < requests.size() && requests.get(next).arrival() < now + step) {
                endRequests(requests.get(next).arrival());
                arrive(requests.get(next));
                next++;
            }
        }
        waiting.values().forEach(queue -> queue.forEach(request -> counter.missed(request.team())));
        return counter.outcome();
    }

    private void countUnreachable() {
        for (ModelName model : configuration.models().keySet()) {
            if (replicas.stream().noneMatch(replica -> replica.isReady(model))) {
                counter.unreachable();
            }
        }
    }

    private void endRequests(double now) {
        while (!ends.isEmpty() && ends.peek().at() <= now) {
            End end = ends.poll();
            end.replica().end(end.model());
            runningByModel.merge(end.model(), -1, Integer::sum);
            startOldest(end.replica(), end.at());
        }
    }

    private void startOldest(SimulatedReplica replica, double now) {
        Optional<ModelName> oldest = replica.readyModels().stream()
                .filter(model -> !waiting.get(model).isEmpty())
                .min(Comparator.comparingDouble(
                        model -> waiting.get(model).peek().arrival()));
        oldest.ifPresent(model -> start(waiting.get(model).poll(), replica, now));
    }

    private void startWaiting(double now) {
        for (Map.Entry<ModelName, Queue<DemandTrace.Request>> entry : waiting.entrySet()) {
            Queue<DemandTrace.Request> queue = entry.getValue();
            while (!queue.isEmpty() && now - queue.peek().arrival() > GIVE_UP_SECONDS) {
                counter.missed(queue.poll().team());
            }
            while (!queue.isEmpty()) {
                Optional<SimulatedReplica> replica = freest(entry.getKey());
                if (replica.isEmpty()) {
                    strategy.onShortage(this, entry.getKey(), now);
                    break;
                }
                start(queue.poll(), replica.get(), now);
            }
        }
    }

    private void arrive(DemandTrace.Request request) {
        Optional<SimulatedReplica> replica = freest(request.model());
        if (replica.isPresent()) {
            start(request, replica.get(), request.arrival());
        } else {
            waiting.get(request.model()).add(request);
            strategy.onShortage(this, request.model(), request.arrival());
        }
    }

    private Optional<SimulatedReplica> freest(ModelName model) {
        SimulatedReplica best = null;
        for (SimulatedReplica replica : replicas) {
            boolean isBetter = best == null || replica.busy() < best.busy();
            if (isBetter && replica.hasFreePlace() && replica.isReady(model)) {
                best = replica;
            }
        }
        return Optional.ofNullable(best);
    }

    private void start(DemandTrace.Request request, SimulatedReplica replica, double now) {
        replica.begin(request.model(), now);
        runningByModel.merge(request.model(), 1, Integer::sum);
        ends.add(new End(now + request.serviceSeconds(), replica, request.model()));
        boolean isAttained = now - request.arrival() + PROMPT_SECONDS <= FIRST_TOKEN_SECONDS;
        if (isAttained) {
            counter.attained(request.team());
        } else {
            counter.missed(request.team());
        }
    }

    private void progressLoads(double now, double step) {
        int atFullSpeed = configuration.weightStore().loadsAtFullSpeed();
        while (!queuedLoads.isEmpty() && now >= nextLoadStart && activeLoads.size() < atFullSpeed) {
            activeLoads.add(queuedLoads.poll());
            nextLoadStart = now + 1 / configuration.weightStore().loadStartsPerSecond();
        }
        for (Load load : new ArrayList<>(activeLoads)) {
            load.bytesLeft -= step * LOAD_BYTES_PER_SECOND;
            if (load.bytesLeft <= 0) {
                activeLoads.remove(load);
                load.replica.setState(load.model.name(), SimulatedReplica.State.READY);
            }
        }
    }
}
