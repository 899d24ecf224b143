package org.pollenhoist.serving.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.upstream.ResidentModel;
import org.pollenhoist.serving.upstream.Upstream;

/**
 * What the ordering VM knows of one lifetime of an engine, beyond what all VMs know: its count of accepted orders, the
 * order on its way, and orders without an answer that may still act. Confined to the event loop.
 */
final class EngineBook {

    /** After this time an order without an answer does not act any more. */
    private static final Duration UNANSWERED_LIFETIME = Duration.ofSeconds(15);

    private record Unanswered(EngineOrder order, MonotonicTime until) {}

    private final Upstream upstream;
    private Optional<Long> sequence = Optional.empty();
    private Optional<EngineOrder> inFlight = Optional.empty();
    private Optional<EngineOrder> modelOrder = Optional.empty();
    private MonotonicTime modelOrderDueAt;
    private Duration inFlightTime = Duration.ZERO;
    private boolean isRepeated;
    private Optional<String> roomFor = Optional.empty();
    private MonotonicTime roomKeptUntil;
    private MonotonicTime pausedUntil;
    private MonotonicTime checkedAt;
    private boolean isReporting;
    private Optional<Unanswered> unanswered = Optional.empty();
    private final Map<String, Set<String>> settling = new HashMap<>();

    EngineBook(Upstream upstream, MonotonicTime now) {
        this.upstream = upstream;
        this.pausedUntil = now;
        this.roomKeptUntil = now;
        this.modelOrderDueAt = now;
        this.checkedAt = now;
        // Loads that the VM which ordered before has announced go on; the engine's report shows their end.
        upstream.loadingModels().forEach((model, expected) -> {
            modelOrder = Optional.of(new EngineOrder.LoadModel(model));
            modelOrderDueAt = expected;
        });
    }

    Upstream upstream() {
        return upstream;
    }

    boolean isReportNeeded(MonotonicTime now) {
        return sequence.isEmpty() && !isReporting && inFlight.isEmpty() && !now.isBefore(pausedUntil);
    }

    void reportAsked(MonotonicTime now) {
        isReporting = true;
        checkedAt = now;
    }

    void reportFailed(MonotonicTime until) {
        isReporting = false;
        pausedUntil = until;
    }

    /**
     * Takes a report over, unless an order was sent since it was asked for. A report is some hundred milliseconds
     * old: one
     * that shows an order in progress which is not known here was made before its end, or before this VM led.
     */
    void reported(EngineStatus status, Duration pause, MonotonicTime now) {
        isReporting = false;
        if (inFlight.isPresent()) {
            return;
        }
        if (status.isOccupied()) {
            if (sequence.isEmpty()) {
                resynchronize(now.plus(pause));
            }
            return;
        }
        sequence = Optional.of(status.orderSequence());
        Map<String, Set<String>> holdings = new HashMap<>();
        for (ResidentModel model : status.models()) {
            holdings.put(model.name(), model.adapters());
        }
        modelOrder = Optional.empty();
        upstream.replaceResidentModels(holdings);
    }

    boolean isFree(MonotonicTime now) {
        return sequence.isPresent() && inFlight.isEmpty() && !isReporting && !now.isBefore(pausedUntil);
    }

    boolean isModelOrderRunning() {
        return modelOrder.isPresent();
    }

    /** Whether it is time to ask whether the running order on a model is done. */
    boolean isCheckDue(Duration interval, MonotonicTime now) {
        return modelOrder.isPresent()
                && !isReporting
                && inFlight.isEmpty()
                && !now.isBefore(modelOrderDueAt)
                && now.since(checkedAt).compareTo(interval) >= 0;
    }

    Optional<EngineOrder> modelOrder() {
        return modelOrder;
    }

    long expectedSequence() {
        return sequence.orElseThrow();
    }

    /** Notes that an order is sent, which takes the engine so long where it accepts it. */
    void sent(EngineOrder order, Duration expectedTime) {
        inFlight = Optional.of(order);
        inFlightTime = expectedTime;
        isRepeated = false;
        if (order instanceof EngineOrder.UnloadModel unload) {
            Map<String, Set<String>> remaining = new HashMap<>(upstream.residentModels());
            remaining.remove(unload.model());
            upstream.replaceResidentModels(remaining);
        } else if (order instanceof EngineOrder.UnloadAdapter unload) {
            upstream.markMissing(unload.model(), unload.adapter());
        }
    }

    /** Notes that the order on its way is sent once more, since its answer was lost. */
    void repeated() {
        isRepeated = true;
    }

    void answered(EngineOrder order, OrderOutcome outcome, Duration conflictPause, MonotonicTime now) {
        inFlight = Optional.empty();
        switch (outcome) {
            case ACCEPTED, DONE -> accepted(order, outcome, now);
            case CONFLICT, REJECTED, NOT_SENT -> resynchronize(now.plus(conflictPause));
            case UNKNOWN -> {
                unanswered = Optional.of(new Unanswered(order, now.plus(UNANSWERED_LIFETIME)));
                resynchronize(now.plus(conflictPause));
            }
        }
    }

    private void accepted(EngineOrder order, OrderOutcome outcome, MonotonicTime now) {
        // The engine drops whatever was sent with an earlier count.
        unanswered = Optional.empty();
        boolean isAlreadyHeld = outcome == OrderOutcome.DONE && !(order instanceof EngineOrder.UnloadAdapter);
        if (isRepeated && outcome == OrderOutcome.DONE) {
            // Whether the first sending or this one was counted is not known.
            resynchronize(now);
        } else if (!isAlreadyHeld) {
            sequence = sequence.map(count -> count + 1);
        }
        boolean isModelOrder = order instanceof EngineOrder.LoadModel || order instanceof EngineOrder.UnloadModel;
        if (isModelOrder && outcome == OrderOutcome.ACCEPTED) {
            modelOrder = Optional.of(order);
            modelOrderDueAt = now.plus(inFlightTime);
            checkedAt = now;
        } else if (isModelOrder) {
            resynchronize(now);
        }
    }

    private void resynchronize(MonotonicTime from) {
        sequence = Optional.empty();
        pausedUntil = from;
    }

    /** Notes that the upstream's own description shows the running order on a model to be done. */
    void completeModelOrder(boolean isDone) {
        if (isDone) {
            modelOrder = Optional.empty();
        }
    }

    void startSettling(String model, String adapter) {
        settling.computeIfAbsent(model, name -> new HashSet<>()).add(adapter);
    }

    void settled(String model, String adapter) {
        settling.getOrDefault(model, new HashSet<>()).remove(adapter);
    }

    /** What the engine may hold at the most: what it is known to hold, and what orders may yet bring. */
    Map<String, Set<String>> possibleHoldings(MonotonicTime now) {
        Map<String, Set<String>> holdings = new HashMap<>();
        upstream.residentModels().forEach((model, adapters) -> holdings.put(model, new HashSet<>(adapters)));
        settling.forEach((model, adapters) -> holdings.computeIfPresent(model, (name, held) -> {
            held.addAll(adapters);
            return held;
        }));
        inFlight.ifPresent(order -> addPossible(holdings, order));
        modelOrder.ifPresent(order -> addPossible(holdings, order));
        unanswered.filter(lost -> now.isBefore(lost.until())).ifPresent(lost -> addPossible(holdings, lost.order()));
        return holdings;
    }

    /** Keeps the room that a drop makes for a model; any other order gives it up. */
    void makeRoomFor(String model, MonotonicTime until) {
        roomFor = model.isEmpty() ? Optional.empty() : Optional.of(model);
        roomKeptUntil = until;
    }

    Optional<String> roomFor(MonotonicTime now) {
        return now.isBefore(roomKeptUntil) ? roomFor : Optional.empty();
    }

    /** Which model is being loaded, and when it is expected. */
    Map<String, MonotonicTime> arrivals() {
        return modelOrder.isPresent() && modelOrder.get() instanceof EngineOrder.LoadModel load
                ? Map.of(load.model(), modelOrderDueAt)
                : Map.of();
    }

    /** The models that requests can use there, or can once the order in progress is done. */
    Set<String> models() {
        Set<String> models = new HashSet<>(upstream.residentModels().keySet());
        for (Optional<EngineOrder> order : List.of(inFlight, modelOrder)) {
            if (order.isPresent() && order.get() instanceof EngineOrder.LoadModel load) {
                models.add(load.model());
            }
        }
        return models;
    }

    private static void addPossible(Map<String, Set<String>> holdings, EngineOrder order) {
        switch (order) {
            case EngineOrder.LoadModel load -> holdings.computeIfAbsent(load.model(), name -> new HashSet<>());
            case EngineOrder.UnloadModel unload -> holdings.computeIfAbsent(unload.model(), name -> new HashSet<>());
            case EngineOrder.LoadAdapter load ->
                holdings.computeIfAbsent(load.model(), name -> new HashSet<>()).add(load.adapter());
            case EngineOrder.UnloadAdapter unload ->
                holdings.computeIfAbsent(unload.model(), name -> new HashSet<>())
                        .add(unload.adapter());
        }
    }
}
