package org.pollenhoist.serving.placement;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.catalog.Catalog;
import org.pollenhoist.serving.catalog.Engine;
import org.pollenhoist.serving.catalog.Model;
import org.pollenhoist.serving.catalog.Service;
import org.pollenhoist.serving.routing.PrefillRateEstimator;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamTable;

/**
 * Executes the plans for models and adapters. Sends each engine one order at a time, and only while this VM is the
 * placement leader. Each order carries the engine's count of accepted orders, so that an order that was considered lost
 * cannot take effect after a later one. Confined to the event loop.
 */
public final class PlacementDriver {

    private static final DecisionLog LOG = DecisionLog.of("placement");

    /** Delay before a new report is requested after a conflict, since reports are some hundred milliseconds old. */
    private static final Duration CONFLICT_BACK_OFF = Duration.ofMillis(400);

    /**
     * Maximum number of retries of an order without a response. All attempts carry the same expected count, so that the
     * engine accepts at most one of them, however late the others arrive.
     */
    private static final int MAXIMUM_RETRIES = 3;

    /**
     * Time from the acceptance of an adapter load until requests may use the adapter. A load takes up to some thirty
     * milliseconds.
     */
    private static final Duration ADAPTER_LOAD_TIME = Duration.ofMillis(35);

    /** Time for which memory stays reserved, including the unload, which waits for the requests that run there. */
    private static final Duration MEMORY_RESERVATION_TIME = Duration.ofSeconds(10);

    /** Time within which all VMs report their demand to a new leader. */
    private static final Duration FIRST_REPORTS_DELAY = Duration.ofMillis(700);

    /** Interval between plans of models. */
    private static final Duration MODEL_PLAN_INTERVAL = Duration.ofMillis(400);

    /**
     * Delay of the first model plan after a start. An engine is registered after at most two of its reports to the
     * store; until then its models appear to have no copy.
     */
    private static final Duration FIRST_MODEL_PLAN_DELAY = Duration.ofSeconds(3);

    /** Interval between reports requested from an engine that executes an order on a model. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(350);

    /** Window over which loads from the weight store are limited. */
    private static final Duration LOAD_WINDOW = Duration.ofSeconds(5);

    /** Maximum loads in the first window of a new leader: the previous leader may have used most of the window. */
    private static final int FIRST_WINDOW_LOADS = 4;

    /** Number of tokens for which the work of models is compared. */
    private static final long REFERENCE_TOKENS = 1_000_000;

    private static final double MILLISECONDS_PER_SECOND = 1_000.0;

    /** An order and the properties common to all attempts to send it. */
    private record PendingOrder(
            EngineTracker tracker,
            PlannedOrder planned,
            long expectedSequence,
            MonotonicTime startedAt,
            boolean isStoreLoad) {}

    private final Timer timer;
    private final Supplier<MonotonicTime> clock;
    private final Leadership leadership;
    private final EngineControl control;
    private final UpstreamTable upstreams;
    private final PrefillRateEstimator prefillRates;
    private final Consumer<Upstream> onChange;
    private final Map<Upstream, EngineTracker> trackers = new HashMap<>();
    private final Deque<MonotonicTime> storeLoadTimes = new ArrayDeque<>();
    private boolean wasSendingOrders;
    private MonotonicTime nextModelPlan;
    private MonotonicTime sendingOrdersSince;

    /**
     * Creates a driver.
     *
     * @param timer runs delayed actions
     * @param clock reads the present time, from a clock that keeps running while the VM is suspended
     * @param leadership tells whether this VM may send orders
     * @param control sends orders to engines
     * @param upstreams the table of upstreams, which includes the engines
     * @param prefillRates the prefill rates of the models
     * @param onChange notified when the resident models and adapters of an engine have changed
     */
    public PlacementDriver(
            Timer timer,
            Supplier<MonotonicTime> clock,
            Leadership leadership,
            EngineControl control,
            UpstreamTable upstreams,
            PrefillRateEstimator prefillRates,
            Consumer<Upstream> onChange) {
        this.timer = timer;
        this.clock = clock;
        this.leadership = leadership;
        this.control = control;
        this.upstreams = upstreams;
        this.prefillRates = prefillRates;
        this.onChange = onChange;
        this.sendingOrdersSince = clock.get();
        this.nextModelPlan = sendingOrdersSince.plus(FIRST_MODEL_PLAN_DELAY);
    }

    /**
     * Tells whether this VM currently sends orders. If so, what it knows of the engines takes precedence over what its
     * peers announce.
     *
     * @param now the present time
     * @return true if this VM currently sends orders
     */
    public boolean isSendingOrders(MonotonicTime now) {
        return wasSendingOrders && leadership.maySendOrders(now);
    }

    /**
     * Requests reports, plans and sends orders as far as they are due.
     *
     * @param catalog the configuration in force
     * @param modelRequests the models and adapters for which requests are queued on any VM
     * @param demand the demand for each model over all VMs
     * @param now the present time
     */
    public void tick(Catalog catalog, Collection<ModelRequest> modelRequests, DemandRates demand, MonotonicTime now) {
        if (!leadership.maySendOrders(now)) {
            wasSendingOrders = false;
            trackers.clear();
            return;
        }
        if (!wasSendingOrders) {
            wasSendingOrders = true;
            trackers.clear();
            sendingOrdersSince = now;
            MonotonicTime firstReportsAt = now.plus(FIRST_REPORTS_DELAY);
            nextModelPlan = nextModelPlan.isBefore(firstReportsAt) ? firstReportsAt : nextModelPlan;
            LOG.event("placement_begins", "fencing_token", leadership.fencingToken());
        }
        boolean isModelPlanDue = !now.isBefore(nextModelPlan);
        for (Service service : catalog.services()) {
            service.engine().ifPresent(engine -> {
                List<EngineTracker> engines = refreshTrackers(service.name(), now);
                planAdapters(engine, engines, modelRequests, now);
                loadIntoReservedMemory(engine, engines, now);
                if (isModelPlanDue) {
                    planModels(engine, engines, modelRequests, demand, now);
                }
            });
        }
        if (isModelPlanDue) {
            nextModelPlan = now.plus(MODEL_PLAN_INTERVAL);
        }
    }

    private List<EngineTracker> refreshTrackers(String service, MonotonicTime now) {
        List<Upstream> usable = upstreams.usable(service).toList();
        trackers.keySet().removeIf(upstream -> !upstream.isUsable());
        List<EngineTracker> serviceTrackers = new ArrayList<>();
        for (Upstream upstream : usable) {
            EngineTracker tracker = trackers.computeIfAbsent(upstream, key -> new EngineTracker(key, now));
            serviceTrackers.add(tracker);
            tracker.modelOrder().ifPresent(order -> {
                boolean isLoaded = order instanceof EngineOrder.LoadModel load && upstream.hasLoaded(load.model(), "");
                tracker.completeModelOrder(isLoaded);
            });
            upstream.setLoadingModels(tracker.loadingModels());
            boolean isReportDue = tracker.isReportNeeded(now) || tracker.isCheckDue(CHECK_INTERVAL, now);
            if (isReportDue && !upstream.isBackingOff(now)) {
                requestReport(tracker, now);
            }
        }
        return serviceTrackers;
    }

    private static Duration expectedDuration(EngineTracker tracker, EngineOrder order, Engine engine) {
        if (!(order instanceof EngineOrder.LoadModel load)) {
            return Duration.ZERO;
        }
        Model model = engine.models().get(load.model());
        if (model == null) {
            return Duration.ZERO;
        }
        return model.loadTime(hasLocalCopy(tracker, load.model()));
    }

    private static boolean hasLocalCopy(EngineTracker tracker, String model) {
        return tracker.upstream().description().localCopies().contains(model);
    }

    private void requestReport(EngineTracker tracker, MonotonicTime now) {
        tracker.onReportRequested(now);
        control.requestReport(tracker.upstream().description(), response -> {
            MonotonicTime respondedAt = clock.get();
            LOG.event(
                    "engine_report",
                    "upstream",
                    tracker.upstream().description().identifier(),
                    "sequence",
                    response.map(EngineStatus::orderSequence).orElse(-1L),
                    "occupied",
                    response.map(EngineStatus::isOccupied).orElse(false),
                    "models",
                    response.map(status -> status.models().toString()).orElse("no response"));
            if (response.isPresent()) {
                tracker.onReport(response.get(), CONFLICT_BACK_OFF, respondedAt);
                onChange.accept(tracker.upstream());
            } else {
                tracker.onReportFailed(respondedAt.plus(CONFLICT_BACK_OFF));
            }
        });
    }

    private EngineView view(EngineTracker tracker, MonotonicTime now) {
        Upstream upstream = tracker.upstream();
        // While an engine loads or unloads a model, it rejects orders on adapters too.
        boolean isFree = tracker.isFree(now) && !tracker.isModelOrderRunning() && !upstream.isBackingOff(now);
        return new EngineView(
                upstream.description().identifier(),
                upstream.description().failureDomain(),
                tracker.possibleResidents(now),
                tracker.readyOrLoadingModels(),
                upstream.residentModels().keySet(),
                upstream.description().localCopies(),
                isFree,
                tracker.isModelOrderRunning(),
                upstream.rateLimit().isObservedLimited(now));
    }

    private void planAdapters(
            Engine engine, List<EngineTracker> engines, Collection<ModelRequest> modelRequests, MonotonicTime now) {
        if (modelRequests.stream().allMatch(request -> request.adapter().isEmpty())) {
            return;
        }
        Map<String, EngineTracker> byIdentifier = byIdentifier(engines);
        AdapterPlan plan = new AdapterPlan(
                engine,
                (identifier, adapter) ->
                        byIdentifier.get(identifier).upstream().adapterUses().last(adapter));
        List<EngineView> views =
                engines.stream().map(tracker -> view(tracker, now)).toList();
        plan.plan(modelRequests, views).forEach(order -> send(byIdentifier.get(order.engine()), order, engine, now));
    }

    private void planModels(
            Engine engine,
            List<EngineTracker> engines,
            Collection<ModelRequest> modelRequests,
            DemandRates demand,
            MonotonicTime now) {
        Set<String> requestedModels = new HashSet<>();
        modelRequests.stream()
                .filter(request -> request.adapter().isEmpty())
                .forEach(request -> requestedModels.add(request.model()));
        List<EngineView> views =
                engines.stream().map(tracker -> view(tracker, now)).toList();
        int remainingStoreLoads =
                Math.max(0, remainingStoreLoads(engine, engines, now) - reservedStoreLoads(engines, now));
        Map<String, EngineTracker> byIdentifier = byIdentifier(engines);
        Map<String, String> reservedModels = new HashMap<>();
        engines.forEach(tracker -> tracker.reservedFor(now)
                .ifPresent(model ->
                        reservedModels.put(tracker.upstream().description().identifier(), model)));
        Map<String, Double> work = ExpectedWork.of(demand, views, now);
        for (PlannedOrder order : new ModelPlan(engine, work, this::workPerToken, views, reservedModels)
                .plan(requestedModels, remainingStoreLoads)) {
            send(byIdentifier.get(order.engine()), order, engine, now);
        }
    }

    private double workPerToken(String model) {
        return prefillRates.uncontendedMicroseconds(model, REFERENCE_TOKENS);
    }

    /** Loads the models for which memory was freed and is still reserved. */
    private void loadIntoReservedMemory(Engine engine, List<EngineTracker> engines, MonotonicTime now) {
        for (EngineTracker tracker : engines) {
            Optional<String> model = tracker.reservedFor(now);
            if (model.isEmpty()) {
                continue;
            }
            EngineView view = view(tracker, now);
            boolean isLoadAllowed = hasLocalCopy(tracker, model.get()) || remainingStoreLoads(engine, engines, now) > 0;
            boolean isPossible = view.isOrderPossible()
                    && !view.possibleResidents().containsKey(model.get())
                    && ModelPlan.hasCapacityFor(engine, view, model.get());
            if (isPossible && isLoadAllowed) {
                EngineOrder load = new EngineOrder.LoadModel(model.get());
                send(tracker, new PlannedOrder(view.identifier(), load, "room_made"), engine, now);
            }
        }
    }

    private int remainingStoreLoads(Engine engine, List<EngineTracker> engines, MonotonicTime now) {
        MonotonicTime windowStart = now.plus(LOAD_WINDOW.negated());
        while (!storeLoadTimes.isEmpty() && storeLoadTimes.getFirst().isBefore(windowStart)) {
            storeLoadTimes.removeFirst();
        }
        int allowed = (int) (engine.storeLoadsPerSecond() * LOAD_WINDOW.toSeconds());
        if (now.since(sendingOrdersSince).compareTo(LOAD_WINDOW) < 0) {
            allowed = Math.min(allowed, FIRST_WINDOW_LOADS);
        }
        int running = (int)
                engines.stream().filter(EngineTracker::isModelOrderRunning).count();
        return Math.min(allowed - storeLoadTimes.size(), maximumConcurrentLoads(engine) - running);
    }

    /** Counts the loads from the weight store that start once the memory reserved for them is free. */
    private static int reservedStoreLoads(List<EngineTracker> engines, MonotonicTime now) {
        return (int) engines.stream()
                .filter(tracker -> tracker.reservedFor(now)
                        .filter(model -> !hasLocalCopy(tracker, model))
                        .isPresent())
                .count();
    }

    /** Concurrent loads that the weight store serves at full speed: those that it starts during the longest load. */
    private static int maximumConcurrentLoads(Engine engine) {
        double longest = engine.models().values().stream()
                .mapToDouble(model -> model.loadTime().toMillis() / MILLISECONDS_PER_SECOND)
                .max()
                .orElse(1);
        return Math.max(1, (int) (engine.storeLoadsPerSecond() * longest));
    }

    private static Map<String, EngineTracker> byIdentifier(List<EngineTracker> engines) {
        Map<String, EngineTracker> byIdentifier = new HashMap<>();
        engines.forEach(
                tracker -> byIdentifier.put(tracker.upstream().description().identifier(), tracker));
        return byIdentifier;
    }

    private void send(EngineTracker tracker, PlannedOrder planned, Engine engine, MonotonicTime now) {
        EngineOrder order = planned.order();
        boolean isStoreLoad = order instanceof EngineOrder.LoadModel load && !hasLocalCopy(tracker, load.model());
        if (isStoreLoad) {
            storeLoadTimes.addLast(now);
        }
        long expectedSequence = tracker.expectedSequence();
        tracker.onOrderSent(order, expectedDuration(tracker, order, engine));
        if (order instanceof EngineOrder.LoadModel || order instanceof EngineOrder.UnloadModel) {
            tracker.reserveMemoryFor(planned.reservedFor(), now.plus(MEMORY_RESERVATION_TIME));
        }
        onChange.accept(tracker.upstream());
        sendAttempt(new PendingOrder(tracker, planned, expectedSequence, now, isStoreLoad), 0, now);
    }

    private void sendAttempt(PendingOrder pendingOrder, int retries, MonotonicTime now) {
        EngineTracker tracker = pendingOrder.tracker();
        PlannedOrder planned = pendingOrder.planned();
        EngineOrder order = planned.order();
        long expectedSequence = pendingOrder.expectedSequence();
        leadership.recordOrder(now);
        long fencingToken = leadership.fencingToken();
        control.sendOrder(tracker.upstream().description(), order, expectedSequence, fencingToken, outcome -> {
            MonotonicTime respondedAt = clock.get();
            LOG.event(
                    "order",
                    "upstream",
                    planned.engine(),
                    "order",
                    order,
                    "reason",
                    planned.reason(),
                    "expected_sequence",
                    expectedSequence,
                    "fencing_token",
                    fencingToken,
                    "repeats",
                    retries,
                    "outcome",
                    outcome,
                    "after_ms",
                    respondedAt.since(now).toMillis());
            boolean isRetried = outcome == OrderOutcome.UNKNOWN
                    && retries < MAXIMUM_RETRIES
                    && leadership.maySendOrders(respondedAt)
                    && !tracker.upstream().isBackingOff(respondedAt);
            if (isRetried) {
                tracker.onOrderRetried();
                sendAttempt(pendingOrder, retries + 1, respondedAt);
                return;
            }
            if (pendingOrder.isStoreLoad() && isCertainlyNotStarted(outcome)) {
                storeLoadTimes.removeLastOccurrence(pendingOrder.startedAt());
            }
            tracker.onOrderOutcome(order, outcome, CONFLICT_BACK_OFF, respondedAt);
            trackAdapterLoad(tracker, order, outcome);
            onChange.accept(tracker.upstream());
        });
    }

    private static boolean isCertainlyNotStarted(OrderOutcome outcome) {
        return switch (outcome) {
            case CONFLICT, REJECTED, NOT_SENT -> true;
            case ACCEPTED, DONE, UNKNOWN -> false;
        };
    }

    private void trackAdapterLoad(EngineTracker tracker, EngineOrder order, OrderOutcome outcome) {
        if (!(order instanceof EngineOrder.LoadAdapter load)) {
            return;
        }
        if (outcome == OrderOutcome.DONE) {
            tracker.upstream().addAdapter(load.model(), load.adapter());
        } else if (outcome == OrderOutcome.ACCEPTED) {
            tracker.onAdapterLoadStarted(load.model(), load.adapter());
            timer.schedule(ADAPTER_LOAD_TIME, () -> {
                tracker.onAdapterLoadFinished(load.model(), load.adapter());
                tracker.upstream().addAdapter(load.model(), load.adapter());
                onChange.accept(tracker.upstream());
            });
        }
    }
}
