package org.pollenhoist.experiments.serving;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BinaryOperator;
import java.util.function.Consumer;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.experiments.simulation.EventQueue;
import org.pollenhoist.serving.catalog.Catalog;
import org.pollenhoist.serving.catalog.Service;
import org.pollenhoist.serving.placement.DemandRates;
import org.pollenhoist.serving.placement.EngineControl;
import org.pollenhoist.serving.placement.EngineOrder;
import org.pollenhoist.serving.placement.EngineStatus;
import org.pollenhoist.serving.placement.Leadership;
import org.pollenhoist.serving.placement.ModelRequest;
import org.pollenhoist.serving.placement.OrderOutcome;
import org.pollenhoist.serving.placement.PlacementDriver;
import org.pollenhoist.serving.upstream.HeldModel;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamDescription;

/** A fleet before its engines on one day. Times in milliseconds, 0 at the start of traffic. */
final class FleetSimulation {

    private static final long TICK = 50;
    private static final long DIGEST_INTERVAL = 250;
    private static final long DEMAND_INTERVAL = 500;
    private static final long DESCRIPTION_LAG = 100;
    private static final long REMOVAL_LAG = 3_600;
    private static final long HOLDINGS_LAG = 5;
    private static final long ORDER_MILLISECONDS = 6;
    private static final long ORDER_TIMEOUT = 400;
    private static final long REPLACEMENT_LAG = 4_000;

    /** Size of the largest models, of which an engine surely holds as many as this allows. */
    private static final double LARGEST_MEGABYTES = 73_000;

    /** Simulated times begin here, since monotonic times are counted from an origin in the past. */
    private static final Duration ORIGIN = Duration.ofSeconds(1_000);

    private final HeavyDay day;
    private final Random random;
    private final Random orderLuck;
    private final EventQueue time = new EventQueue();
    private final Catalog catalog;
    private final Service service;
    private final List<SimulatedVm> vms = new ArrayList<>();
    private final Map<String, SimulatedEngine> engines = new HashMap<>();
    private final SimulatedVm ordering;
    private final DemandRates demandRates;
    private final PlacementDriver placement;
    private final Callers callers;
    private final NavigableMap<Integer, Duration> shortestGoals = new TreeMap<>();
    private long nextEngine;
    private double lostOrders;
    private boolean isOrderingPossible = true;

    FleetSimulation(HeavyDay day, long seed) {
        this.day = day;
        this.random = new Random(seed);
        this.orderLuck = new Random(seed + 1);
        this.catalog = day.catalog();
        day.classes()
                .forEach(kind -> shortestGoals.merge(
                        kind.priority(),
                        Duration.ofMillis(kind.goalMilliseconds()),
                        BinaryOperator.minBy(Comparator.naturalOrder())));
        this.service = catalog.service(HeavyDay.SERVICE).orElseThrow();
        for (int index = 0; index < day.vms(); index++) {
            vms.add(new SimulatedVm("vm-" + index, domain(index)));
        }
        ordering = vms.get(0);
        demandRates = new DemandRates();
        GrantingStore store = new GrantingStore();
        Leadership leadership = new Leadership(store, "leader", "vm-0", Duration.ofSeconds(3), true, now());
        placement = new PlacementDriver(
                (delay, action) -> time.after(delay.toMillis(), action),
                this::now,
                leadership,
                new Control(),
                ordering.upstreams,
                ordering.pace,
                this::holdingsChanged);
        callers = new Callers(this, day, random);
        store.lead(leadership, this::now, time);
    }

    private String domain(int index) {
        return "domain-" + index % day.domains();
    }

    NavigableMap<Integer, Duration> shortestGoals() {
        return shortestGoals;
    }

    MonotonicTime now() {
        return at(milliseconds());
    }

    MonotonicTime at(long milliseconds) {
        return MonotonicTime.of(ORIGIN.plusMillis(milliseconds));
    }

    long milliseconds() {
        return time.now() - day.leadMilliseconds();
    }

    void after(long delay, Runnable action) {
        time.after(delay, action);
    }

    Service service() {
        return service;
    }

    SimulatedVm anyVm() {
        return vms.get(random.nextInt(vms.size()));
    }

    /** Plays the day and tells what callers got. */
    DayResult play(Duration length) {
        place();
        tick();
        vms.forEach(vm -> time.after(random.nextInt((int) DEMAND_INTERVAL), () -> exchange(vm, 0)));
        callers.begin(length.toMillis());
        day.faults().forEach(fault -> time.at(day.leadMilliseconds() + fault.at(), () -> strike(fault)));
        time.runUntil(day.leadMilliseconds() + length.toMillis());
        List<Long> storeLoads = engines.values().stream()
                .flatMap(engine -> engine.storeLoads().stream())
                .map(begun -> begun - day.leadMilliseconds())
                .toList();
        return callers.result(storeLoads);
    }

    /** Busy models stand on many engines at first, all others on one each, as far as there is room. */
    private void place() {
        List<SimulatedEngine> all = new ArrayList<>();
        for (int index = 0; index < day.engines(); index++) {
            all.add(add(domain(index)));
        }
        List<String> wanted = new ArrayList<>();
        if (day.isMemoryUnlimited()) {
            all.forEach(engine -> day.models().keySet().forEach(engine::hold));
            all.forEach(this::describe);
            return;
        }
        int places = day.engines() * (int) (day.engine().weightMegabytes() / LARGEST_MEGABYTES);
        int busy = day.busyShares().size();
        for (int index = busy; index < day.models().size(); index++) {
            wanted.add(HeavyDay.modelName(index));
        }
        for (int index = 0; wanted.size() < places; index = (index + 1) % busy) {
            wanted.add(HeavyDay.modelName(index));
        }
        for (int index = 0; index < wanted.size(); index++) {
            SimulatedEngine engine = all.get(index % all.size());
            if (!engine.held().containsKey(wanted.get(index))) {
                engine.hold(wanted.get(index));
            }
        }
        all.forEach(this::describe);
    }

    private SimulatedEngine add(String domain) {
        String name = "engine-" + nextEngine++;
        SimulatedEngine created = new SimulatedEngine(
                name, domain, day, time, changed -> time.after(DESCRIPTION_LAG, () -> describe(changed)));
        engines.put(name, created);
        return created;
    }

    private void describe(SimulatedEngine engine) {
        if (engine.isGone()) {
            return;
        }
        List<HeldModel> models = engine.held().entrySet().stream()
                .map(held -> new HeldModel(held.getKey(), 1, Set.copyOf(held.getValue())))
                .toList();
        UpstreamDescription description = new UpstreamDescription(
                engine.name,
                1,
                HeavyDay.SERVICE,
                "v1",
                new InetSocketAddress(1),
                engine.domain,
                day.engine().slots(),
                false,
                engine.sequence(),
                models,
                Set.copyOf(engine.localCopies()));
        vms.forEach(vm -> vm.upstreams.put(description, now()));
    }

    private void tick() {
        time.after(TICK, this::tick);
        vms.forEach(vm -> vm.queue.tryStartAll(now()));
        order();
    }

    private void order() {
        if (!isOrderingPossible) {
            return;
        }
        List<ModelRequest> wants = new ArrayList<>();
        vms.forEach(vm -> wants.addAll(vm.queue.modelRequests()));
        placement.tick(catalog, wants, demandRates, now());
    }

    void wantBegan() {
        time.after(1, this::order);
    }

    private void exchange(SimulatedVm vm, long round) {
        time.after(DIGEST_INTERVAL, () -> exchange(vm, round + 1));
        vms.stream().filter(peer -> peer != vm).forEach(peer -> peer.hear(vm, now()));
        if (round % (DEMAND_INTERVAL / DIGEST_INTERVAL) == 0) {
            demandRates.onReport(vm.name, vm.demand.demand(now()), now());
        }
    }

    private void holdingsChanged(Upstream engine) {
        time.after(HOLDINGS_LAG, () -> {
            vms.stream()
                    .filter(vm -> vm != ordering)
                    .forEach(
                            vm -> vm.hearHoldings(ordering, engine.description().identifier()));
            vms.forEach(vm -> vm.queue.tryStartAll(now()));
            order();
        });
    }

    void deliver(String engine, EngineRun run) {
        SimulatedEngine target = engines.get(engine);
        if (target == null || target.isGone()) {
            run.listener.onUnreachable();
        } else {
            target.send(run);
        }
    }

    private void strike(HeavyDay.Fault fault) {
        switch (fault) {
            case HeavyDay.Fault.Crash crash -> lose(crash.engines(), crash.downMilliseconds(), true);
            case HeavyDay.Fault.Reclaim reclaim -> lose(reclaim.engines(), REPLACEMENT_LAG, false);
            case HeavyDay.Fault.LateOrders late -> {
                lostOrders = late.part();
                time.after(late.milliseconds(), () -> lostOrders = 0);
            }
            case HeavyDay.Fault.NoOrders none -> {
                isOrderingPossible = false;
                time.after(none.milliseconds(), () -> isOrderingPossible = true);
            }
            case HeavyDay.Fault.Burst burst -> callers.burst(burst);
        }
    }

    private void lose(int count, long downMilliseconds, boolean isDiskKept) {
        List<SimulatedEngine> alive = new ArrayList<>(
                engines.values().stream().filter(engine -> !engine.isGone()).toList());
        alive.sort(Comparator.comparing(engine -> engine.name));
        Collections.shuffle(alive, orderLuck);
        for (SimulatedEngine engine : alive.subList(0, Math.min(count, alive.size()))) {
            engine.crash();
            time.after(REMOVAL_LAG, () -> vms.forEach(vm -> vm.upstreams.remove(engine.name, "entry removed", now())));
            time.after(downMilliseconds, () -> {
                SimulatedEngine replacement = add(engine.domain);
                if (isDiskKept) {
                    replacement.keepDisk(engine);
                }
                if (day.isMemoryUnlimited()) {
                    day.models().keySet().forEach(replacement::hold);
                }
                describe(replacement);
            });
        }
    }

    /** Orders and reports as engines answer them, some of them late. */
    private final class Control implements EngineControl {

        @Override
        public void sendOrder(
                UpstreamDescription engine,
                EngineOrder order,
                long expectedSequence,
                long fencingToken,
                Consumer<OrderOutcome> outcome) {
            SimulatedEngine target = engines.get(engine.identifier());
            if (orderLuck.nextDouble() < lostOrders) {
                time.after(2_000 + orderLuck.nextInt(10_000), () -> target.order(order, expectedSequence));
                time.after(ORDER_TIMEOUT, () -> outcome.accept(OrderOutcome.UNKNOWN));
                return;
            }
            time.after(ORDER_MILLISECONDS, () -> outcome.accept(target.order(order, expectedSequence)));
        }

        @Override
        public void requestReport(UpstreamDescription engine, Consumer<Optional<EngineStatus>> answer) {
            time.after(ORDER_MILLISECONDS, () -> {
                SimulatedEngine target = engines.get(engine.identifier());
                answer.accept(target.isGone() ? Optional.empty() : Optional.of(status(target)));
            });
        }

        private EngineStatus status(SimulatedEngine engine) {
            return new EngineStatus(
                    engine.sequence(),
                    engine.isOccupied(),
                    engine.held().entrySet().stream()
                            .map(held -> new HeldModel(held.getKey(), 1, new HashSet<>(held.getValue())))
                            .toList());
        }
    }
}
