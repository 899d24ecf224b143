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
 * Carries plans out: one order at a time to each engine, sent only while this VM leads, each with the engine's count of
 * orders, so that an order that was thought lost cannot act after a later one. Confined to the event loop.
 */
public final class PlacementDriver {

    private static final DecisionLog LOG = DecisionLog.of("placement");

    /** An engine's reports are some hundred milliseconds old; after a conflict a newer one is waited for. */
    private static final Duration CONFLICT_PAUSE = Duration.ofMillis(400);

    /**
     * How often an order is sent again whose answer was lost. All sendings bear the same expected count, so that the
     * engine accepts one of them at the most, however late the others come.
     */
    private static final int MAXIMUM_REPEATS = 3;

    /** How long after its acceptance an adapter can be used; adapters take up to some thirty milliseconds. */
    private static final Duration ADAPTER_SETTLING = Duration.ofMillis(35);

    /** How long room is kept for the model for which it was made; a drop waits for its runs to end. */
    private static final Duration ROOM_KEPT = Duration.ofSeconds(10);

    /** Time in which all VMs have reported their demand to one that begins to order. */
    private static final Duration FIRST_REPORTS = Duration.ofMillis(700);

    /** How often models are planned. */
    private static final Duration MODEL_PLAN_INTERVAL = Duration.ofMillis(400);

    /** Engines register within two of their reports to the store; just after a start a model seems to be nowhere. */
    private static final Duration FIRST_MODEL_PLAN = Duration.ofSeconds(3);

    /** How often an engine is asked whether an order on a model is done. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(350);

    /** Window over which loads from the weight store are counted. */
    private static final Duration LOAD_WINDOW = Duration.ofSeconds(5);

    /** Loads that a VM starts in its first window: the VM that ordered before may have used most of the window. */
    private static final int FIRST_WINDOW_LOADS = 4;

    /** Tokens over which models' paces are compared. */
    private static final long PACE_TOKENS = 1_000_000;

    private static final double MILLISECONDS_PER_SECOND = 1_000.0;

    /** An order and what all its sendings have in common. */
    private record Sending(
            EngineBook book, PlannedOrder planned, long expectedSequence, MonotonicTime begunAt, boolean isStoreLoad) {}

    private final Timer timer;
    private final Supplier<MonotonicTime> clock;
    private final Leadership leadership;
    private final EngineControl control;
    private final UpstreamTable upstreams;
    private final PrefillRateEstimator pace;
    private final Consumer<Upstream> onChange;
    private final Map<Upstream, EngineBook> books = new HashMap<>();
    private final Deque<MonotonicTime> loads = new ArrayDeque<>();
    private boolean wasOrdering;
    private MonotonicTime nextModelPlan;
    private MonotonicTime orderingSince;

    /**
     * Creates a driver.
     *
     * @param timer runs what is due later
     * @param clock reads the present time, on a clock that counts suspensions
     * @param leadership whether this VM may order
     * @param control sends orders
     * @param upstreams the engines
     * @param pace how fast engines read
     * @param onChange is told when the holdings of an engine have changed
     */
    public PlacementDriver(
            Timer timer,
            Supplier<MonotonicTime> clock,
            Leadership leadership,
            EngineControl control,
            UpstreamTable upstreams,
            PrefillRateEstimator pace,
            Consumer<Upstream> onChange) {
        this.timer = timer;
        this.clock = clock;
        this.leadership = leadership;
        this.control = control;
        this.upstreams = upstreams;
        this.pace = pace;
        this.onChange = onChange;
        this.orderingSince = clock.get();
        this.nextModelPlan = orderingSince.plus(FIRST_MODEL_PLAN);
    }

    /**
     * Tells whether this VM orders now, so that what it knows of the engines goes before what others know.
     *
     * @param now the present time
     * @return true where it does
     */
    public boolean isSendingOrders(MonotonicTime now) {
        return wasOrdering && leadership.maySendOrders(now);
    }

    /**
     * Does what is due.
     *
     * @param catalog the configuration in force
     * @param wants what requests of all VMs wait for
     * @param demand what is asked of each model over all VMs
     * @param now the present time
     */
    public void tick(Catalog catalog, Collection<ModelRequest> wants, DemandRates demand, MonotonicTime now) {
        if (!leadership.maySendOrders(now)) {
            wasOrdering = false;
            books.clear();
            return;
        }
        if (!wasOrdering) {
            wasOrdering = true;
            books.clear();
            orderingSince = now;
            MonotonicTime reportedAt = now.plus(FIRST_REPORTS);
            nextModelPlan = nextModelPlan.isBefore(reportedAt) ? reportedAt : nextModelPlan;
            LOG.event("placement_begins", "fencing_token", leadership.fencingToken());
        }
        boolean isModelPlanDue = !now.isBefore(nextModelPlan);
        for (Service service : catalog.services()) {
            service.engine().ifPresent(engine -> {
                List<EngineBook> engines = refreshBooks(service.name(), now);
                planAdapters(engine, engines, wants, now);
                useRoom(engine, engines, now);
                if (isModelPlanDue) {
                    planModels(engine, engines, wants, demand, now);
                }
            });
        }
        if (isModelPlanDue) {
            nextModelPlan = now.plus(MODEL_PLAN_INTERVAL);
        }
    }

    private List<EngineBook> refreshBooks(String service, MonotonicTime now) {
        List<Upstream> usable = upstreams.usable(service).toList();
        books.keySet().removeIf(upstream -> !upstream.isUsable());
        List<EngineBook> found = new ArrayList<>();
        for (Upstream upstream : usable) {
            EngineBook book = books.computeIfAbsent(upstream, key -> new EngineBook(key, now));
            found.add(book);
            book.modelOrder().ifPresent(order -> {
                boolean isLoaded = order instanceof EngineOrder.LoadModel load && upstream.hasLoaded(load.model(), "");
                book.completeModelOrder(isLoaded);
            });
            upstream.setLoadingModels(book.arrivals());
            boolean isReportDue = book.isReportNeeded(now) || book.isCheckDue(CHECK_INTERVAL, now);
            if (isReportDue && !upstream.isBackingOff(now)) {
                askForReport(book, now);
            }
        }
        return found;
    }

    private static Duration expectedTime(EngineBook book, EngineOrder order, Engine engine) {
        if (!(order instanceof EngineOrder.LoadModel load)) {
            return Duration.ZERO;
        }
        Model model = engine.models().get(load.model());
        if (model == null) {
            return Duration.ZERO;
        }
        return model.loadTime(hasCopy(book, load.model()));
    }

    private static boolean hasCopy(EngineBook book, String model) {
        return book.upstream().description().localCopies().contains(model);
    }

    private void askForReport(EngineBook book, MonotonicTime now) {
        book.reportAsked(now);
        control.requestReport(book.upstream().description(), answer -> {
            MonotonicTime answeredAt = clock.get();
            LOG.event(
                    "engine_report",
                    "upstream",
                    book.upstream().description().identifier(),
                    "sequence",
                    answer.map(EngineStatus::orderSequence).orElse(-1L),
                    "occupied",
                    answer.map(EngineStatus::isOccupied).orElse(false),
                    "models",
                    answer.map(status -> status.models().toString()).orElse("no answer"));
            if (answer.isPresent()) {
                book.reported(answer.get(), CONFLICT_PAUSE, answeredAt);
                onChange.accept(book.upstream());
            } else {
                book.reportFailed(answeredAt.plus(CONFLICT_PAUSE));
            }
        });
    }

    private EngineView view(EngineBook book, MonotonicTime now) {
        Upstream upstream = book.upstream();
        // While a model is loaded or dropped, engines reject orders on adapters too.
        boolean isFree = book.isFree(now) && !book.isModelOrderRunning() && !upstream.isBackingOff(now);
        return new EngineView(
                upstream.description().identifier(),
                upstream.description().failureDomain(),
                book.possibleHoldings(now),
                book.models(),
                upstream.residentModels().keySet(),
                upstream.description().localCopies(),
                isFree,
                book.isModelOrderRunning());
    }

    private void planAdapters(
            Engine engine, List<EngineBook> engines, Collection<ModelRequest> wants, MonotonicTime now) {
        if (wants.stream().allMatch(want -> want.adapter().isEmpty())) {
            return;
        }
        Map<String, EngineBook> byIdentifier = byIdentifier(engines);
        AdapterPlan plan = new AdapterPlan(
                engine,
                (identifier, adapter) -> byIdentifier.get(identifier).upstream().lastAdapterUse(adapter));
        List<EngineView> views = engines.stream().map(book -> view(book, now)).toList();
        plan.plan(wants, views).forEach(order -> send(byIdentifier.get(order.engine()), order, engine, now));
    }

    private void planModels(
            Engine engine,
            List<EngineBook> engines,
            Collection<ModelRequest> wants,
            DemandRates demand,
            MonotonicTime now) {
        Set<String> wanted = new HashSet<>();
        wants.stream().filter(want -> want.adapter().isEmpty()).forEach(want -> wanted.add(want.model()));
        List<EngineView> views = engines.stream().map(book -> view(book, now)).toList();
        int loadsAllowed = Math.max(0, loadsAllowed(engine, engines, now) - promisedLoads(engines, now));
        Map<String, EngineBook> byIdentifier = byIdentifier(engines);
        Map<String, String> roomFor = new HashMap<>();
        engines.forEach(book -> book.roomFor(now)
                .ifPresent(model -> roomFor.put(book.upstream().description().identifier(), model)));
        Map<String, Double> work = ExpectedWork.of(demand, views, now);
        for (PlannedOrder order : new ModelPlan(engine, work, this::pace, views, roomFor).plan(wanted, loadsAllowed)) {
            send(byIdentifier.get(order.engine()), order, engine, now);
        }
    }

    private double pace(String model) {
        return pace.uncontendedMicroseconds(model, PACE_TOKENS);
    }

    /** Loads the models for which room was made. */
    private void useRoom(Engine engine, List<EngineBook> engines, MonotonicTime now) {
        for (EngineBook book : engines) {
            Optional<String> model = book.roomFor(now);
            if (model.isEmpty()) {
                continue;
            }
            EngineView view = view(book, now);
            boolean isLoadAllowed = hasCopy(book, model.get()) || loadsAllowed(engine, engines, now) > 0;
            boolean isPossible = view.isOrderPossible()
                    && !view.holdings().containsKey(model.get())
                    && ModelPlan.hasRoom(engine, view, model.get());
            if (isPossible && isLoadAllowed) {
                EngineOrder load = new EngineOrder.LoadModel(model.get());
                send(book, new PlannedOrder(view.identifier(), load, "room_made"), engine, now);
            }
        }
    }

    private int loadsAllowed(Engine engine, List<EngineBook> engines, MonotonicTime now) {
        MonotonicTime oldest = now.plus(LOAD_WINDOW.negated());
        while (!loads.isEmpty() && loads.getFirst().isBefore(oldest)) {
            loads.removeFirst();
        }
        int allowed = (int) (engine.storeLoadsPerSecond() * LOAD_WINDOW.toSeconds());
        if (now.since(orderingSince).compareTo(LOAD_WINDOW) < 0) {
            allowed = Math.min(allowed, FIRST_WINDOW_LOADS);
        }
        int running =
                (int) engines.stream().filter(EngineBook::isModelOrderRunning).count();
        return Math.min(allowed - loads.size(), loadsAtOnce(engine) - running);
    }

    /** Loads that will begin once the room for them is there. */
    private static int promisedLoads(List<EngineBook> engines, MonotonicTime now) {
        return (int) engines.stream()
                .filter(book ->
                        book.roomFor(now).filter(model -> !hasCopy(book, model)).isPresent())
                .count();
    }

    /** Loads that the weight store serves at full speed: as many as it starts in the time that one of them takes. */
    private static int loadsAtOnce(Engine engine) {
        double longest = engine.models().values().stream()
                .mapToDouble(model -> model.loadTime().toMillis() / MILLISECONDS_PER_SECOND)
                .max()
                .orElse(1);
        return Math.max(1, (int) (engine.storeLoadsPerSecond() * longest));
    }

    private static Map<String, EngineBook> byIdentifier(List<EngineBook> engines) {
        Map<String, EngineBook> byIdentifier = new HashMap<>();
        engines.forEach(book -> byIdentifier.put(book.upstream().description().identifier(), book));
        return byIdentifier;
    }

    private void send(EngineBook book, PlannedOrder planned, Engine engine, MonotonicTime now) {
        EngineOrder order = planned.order();
        boolean isStoreLoad = order instanceof EngineOrder.LoadModel load && !hasCopy(book, load.model());
        if (isStoreLoad) {
            loads.addLast(now);
        }
        long expected = book.expectedSequence();
        book.sent(order, expectedTime(book, order, engine));
        if (order instanceof EngineOrder.LoadModel || order instanceof EngineOrder.UnloadModel) {
            book.makeRoomFor(planned.roomFor(), now.plus(ROOM_KEPT));
        }
        onChange.accept(book.upstream());
        attempt(new Sending(book, planned, expected, now, isStoreLoad), 0, now);
    }

    private void attempt(Sending sending, int repeats, MonotonicTime now) {
        EngineBook book = sending.book();
        PlannedOrder planned = sending.planned();
        EngineOrder order = planned.order();
        long expectedSequence = sending.expectedSequence();
        leadership.recordOrder(now);
        long fencingToken = leadership.fencingToken();
        control.sendOrder(book.upstream().description(), order, expectedSequence, fencingToken, outcome -> {
            MonotonicTime answeredAt = clock.get();
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
                    repeats,
                    "outcome",
                    outcome,
                    "after_ms",
                    answeredAt.since(now).toMillis());
            boolean isRepeated = outcome == OrderOutcome.UNKNOWN
                    && repeats < MAXIMUM_REPEATS
                    && leadership.maySendOrders(answeredAt)
                    && !book.upstream().isBackingOff(answeredAt);
            if (isRepeated) {
                book.repeated();
                attempt(sending, repeats + 1, answeredAt);
                return;
            }
            if (sending.isStoreLoad() && isSurelyNotBegun(outcome)) {
                loads.removeLastOccurrence(sending.begunAt());
            }
            book.answered(order, outcome, CONFLICT_PAUSE, answeredAt);
            settle(book, order, outcome);
            onChange.accept(book.upstream());
        });
    }

    private static boolean isSurelyNotBegun(OrderOutcome outcome) {
        return switch (outcome) {
            case CONFLICT, REJECTED, NOT_SENT -> true;
            case ACCEPTED, DONE, UNKNOWN -> false;
        };
    }

    private void settle(EngineBook book, EngineOrder order, OrderOutcome outcome) {
        if (!(order instanceof EngineOrder.LoadAdapter load)) {
            return;
        }
        if (outcome == OrderOutcome.DONE) {
            book.upstream().addAdapter(load.model(), load.adapter());
        } else if (outcome == OrderOutcome.ACCEPTED) {
            book.startSettling(load.model(), load.adapter());
            timer.schedule(ADAPTER_SETTLING, () -> {
                book.settled(load.model(), load.adapter());
                book.upstream().addAdapter(load.model(), load.adapter());
                onChange.accept(book.upstream());
            });
        }
    }
}
