package org.pollenhoist.serving.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.upstream.HeldModel;
import org.pollenhoist.serving.upstream.Upstream;

/**
 * The state that the placement leader tracks for one lifetime of an engine, in addition to the state that all VMs know.
 * It consists of the number of orders that the engine has accepted, the order in flight, and an order that was sent and
 * not acknowledged, which the engine may still execute. Confined to the event loop.
 */
final class EngineTracker {

    /** Time after which an unacknowledged order can no longer take effect. */
    private static final Duration UNACKNOWLEDGED_ORDER_LIFETIME = Duration.ofSeconds(15);

    private record UnacknowledgedOrder(EngineOrder order, MonotonicTime until) {}

    private final Upstream upstream;
    private Optional<Long> sequence = Optional.empty();
    private Optional<EngineOrder> inFlight = Optional.empty();
    private Optional<EngineOrder> modelOrder = Optional.empty();
    private MonotonicTime modelOrderDueAt;
    private Duration inFlightExpectedTime = Duration.ZERO;
    private boolean isRetried;
    private Optional<String> reservedFor = Optional.empty();
    private MonotonicTime reservedUntil;
    private MonotonicTime backOffUntil;
    private MonotonicTime lastCheckAt;
    private boolean isReportPending;
    private Optional<UnacknowledgedOrder> unacknowledged = Optional.empty();
    private final Map<String, Set<String>> loadingAdapters = new HashMap<>();

    EngineTracker(Upstream upstream, MonotonicTime now) {
        this.upstream = upstream;
        this.backOffUntil = now;
        this.reservedUntil = now;
        this.modelOrderDueAt = now;
        this.lastCheckAt = now;
        // Loads that the previous leader announced continue; the engine's report shows when they end.
        upstream.loadingModels().forEach((model, expected) -> {
            modelOrder = Optional.of(new EngineOrder.LoadModel(model));
            modelOrderDueAt = expected;
        });
    }

    Upstream upstream() {
        return upstream;
    }

    boolean isReportNeeded(MonotonicTime now) {
        return sequence.isEmpty() && !isReportPending && inFlight.isEmpty() && !now.isBefore(backOffUntil);
    }

    void onReportRequested(MonotonicTime now) {
        isReportPending = true;
        lastCheckAt = now;
    }

    void onReportFailed(MonotonicTime until) {
        isReportPending = false;
        backOffUntil = until;
    }

    /**
     * Applies a report, unless an order is in flight. A report is some hundred milliseconds old. If it shows an order
     * in progress that is unknown here, it was created before that order ended or before this VM became the leader.
     */
    void onReport(EngineStatus status, Duration backOff, MonotonicTime now) {
        isReportPending = false;
        if (inFlight.isPresent()) {
            return;
        }
        if (status.isOccupied()) {
            if (sequence.isEmpty()) {
                resynchronizeAfter(now.plus(backOff));
            }
            return;
        }
        sequence = Optional.of(status.orderSequence());
        Map<String, Set<String>> residents = new HashMap<>();
        for (HeldModel model : status.models()) {
            residents.put(model.name(), model.adapters());
        }
        modelOrder = Optional.empty();
        upstream.replaceResidentModels(residents);
    }

    boolean isFree(MonotonicTime now) {
        return sequence.isPresent() && inFlight.isEmpty() && !isReportPending && !now.isBefore(backOffUntil);
    }

    boolean isModelOrderRunning() {
        return modelOrder.isPresent();
    }

    /** Tells whether a report is due that shows whether the running order on a model has completed. */
    boolean isCheckDue(Duration interval, MonotonicTime now) {
        return modelOrder.isPresent()
                && !isReportPending
                && inFlight.isEmpty()
                && !now.isBefore(modelOrderDueAt)
                && now.since(lastCheckAt).compareTo(interval) >= 0;
    }

    Optional<EngineOrder> modelOrder() {
        return modelOrder;
    }

    long expectedSequence() {
        return sequence.orElseThrow();
    }

    /** Records that an order is sent, with the time that it takes if the engine accepts it. */
    void onOrderSent(EngineOrder order, Duration expectedTime) {
        inFlight = Optional.of(order);
        inFlightExpectedTime = expectedTime;
        isRetried = false;
        if (order instanceof EngineOrder.UnloadModel unload) {
            Map<String, Set<String>> remaining = new HashMap<>(upstream.residentModels());
            remaining.remove(unload.model());
            upstream.replaceResidentModels(remaining);
        } else if (order instanceof EngineOrder.UnloadAdapter unload) {
            upstream.markMissing(unload.model(), unload.adapter());
        }
    }

    /** Records that the order in flight is sent again because the response to it was lost. */
    void onOrderRetried() {
        isRetried = true;
    }

    void onOrderOutcome(EngineOrder order, OrderOutcome outcome, Duration backOff, MonotonicTime now) {
        inFlight = Optional.empty();
        switch (outcome) {
            case ACCEPTED, DONE -> onOrderAccepted(order, outcome, now);
            case CONFLICT, REJECTED, NOT_SENT -> resynchronizeAfter(now.plus(backOff));
            case UNKNOWN -> {
                unacknowledged = Optional.of(new UnacknowledgedOrder(order, now.plus(UNACKNOWLEDGED_ORDER_LIFETIME)));
                resynchronizeAfter(now.plus(backOff));
            }
        }
    }

    private void onOrderAccepted(EngineOrder order, OrderOutcome outcome, MonotonicTime now) {
        // The engine discards all orders that carry an earlier count.
        unacknowledged = Optional.empty();
        boolean wasAlreadyInEffect = outcome == OrderOutcome.DONE && !(order instanceof EngineOrder.UnloadAdapter);
        if (isRetried && outcome == OrderOutcome.DONE) {
            // It is unknown whether the engine counted an earlier attempt or this one.
            resynchronizeAfter(now);
        } else if (!wasAlreadyInEffect) {
            sequence = sequence.map(count -> count + 1);
        }
        boolean isModelOrder = order instanceof EngineOrder.LoadModel || order instanceof EngineOrder.UnloadModel;
        if (isModelOrder && outcome == OrderOutcome.ACCEPTED) {
            modelOrder = Optional.of(order);
            modelOrderDueAt = now.plus(inFlightExpectedTime);
            lastCheckAt = now;
        } else if (isModelOrder) {
            resynchronizeAfter(now);
        }
    }

    private void resynchronizeAfter(MonotonicTime from) {
        sequence = Optional.empty();
        backOffUntil = from;
    }

    /** Ends the running order on a model if the upstream's own description shows that it has completed. */
    void completeModelOrder(boolean isDone) {
        if (isDone) {
            modelOrder = Optional.empty();
        }
    }

    void onAdapterLoadStarted(String model, String adapter) {
        loadingAdapters.computeIfAbsent(model, name -> new HashSet<>()).add(adapter);
    }

    void onAdapterLoadFinished(String model, String adapter) {
        loadingAdapters.getOrDefault(model, new HashSet<>()).remove(adapter);
    }

    /** Returns everything that may occupy memory: resident models and adapters, and those that orders may load. */
    Map<String, Set<String>> possibleResidents(MonotonicTime now) {
        Map<String, Set<String>> residents = new HashMap<>();
        upstream.residentModels().forEach((model, adapters) -> residents.put(model, new HashSet<>(adapters)));
        loadingAdapters.forEach((model, adapters) -> residents.computeIfPresent(model, (name, resident) -> {
            resident.addAll(adapters);
            return resident;
        }));
        inFlight.ifPresent(order -> addPossible(residents, order));
        modelOrder.ifPresent(order -> addPossible(residents, order));
        unacknowledged
                .filter(pending -> now.isBefore(pending.until()))
                .ifPresent(pending -> addPossible(residents, pending.order()));
        return residents;
    }

    /** Reserves the memory that an unload frees for a model, or ends the reservation if the model is empty. */
    void reserveMemoryFor(String model, MonotonicTime until) {
        reservedFor = model.isEmpty() ? Optional.empty() : Optional.of(model);
        reservedUntil = until;
    }

    Optional<String> reservedFor(MonotonicTime now) {
        return now.isBefore(reservedUntil) ? reservedFor : Optional.empty();
    }

    /** Returns the model that is being loaded, with the time at which it is expected to be ready. */
    Map<String, MonotonicTime> loadingModels() {
        return modelOrder.isPresent() && modelOrder.get() instanceof EngineOrder.LoadModel load
                ? Map.of(load.model(), modelOrderDueAt)
                : Map.of();
    }

    /** Returns the models that requests can use there now or once the order in progress has completed. */
    Set<String> readyOrLoadingModels() {
        Set<String> models = new HashSet<>(upstream.residentModels().keySet());
        for (Optional<EngineOrder> order : List.of(inFlight, modelOrder)) {
            if (order.isPresent() && order.get() instanceof EngineOrder.LoadModel load) {
                models.add(load.model());
            }
        }
        return models;
    }

    private static void addPossible(Map<String, Set<String>> residents, EngineOrder order) {
        switch (order) {
            case EngineOrder.LoadModel load -> residents.computeIfAbsent(load.model(), name -> new HashSet<>());
            case EngineOrder.UnloadModel unload -> residents.computeIfAbsent(unload.model(), name -> new HashSet<>());
            case EngineOrder.LoadAdapter load ->
                residents.computeIfAbsent(load.model(), name -> new HashSet<>()).add(load.adapter());
            case EngineOrder.UnloadAdapter unload ->
                residents
                        .computeIfAbsent(unload.model(), name -> new HashSet<>())
                        .add(unload.adapter());
        }
    }
}
