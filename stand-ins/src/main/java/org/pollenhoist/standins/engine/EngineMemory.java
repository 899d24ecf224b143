package org.pollenhoist.standins.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pollenhoist.standins.engine.EngineOrder.Answer;
import org.pollenhoist.standins.engine.EngineReport.OrderStatus;
import org.pollenhoist.standins.engine.EngineReport.Resident;

/** An engine's bounded memory, and the orders that change it late. */
final class EngineMemory {

    private static final int REPORTED_ORDERS = 200;
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final String LOADING = "loading";
    private static final String READY = "ready";
    private static final String UNLOADING = "unloading";
    private static final String ACCEPTED = "accepted";
    private static final String RUNNING = "running";
    private static final String DONE = "done";
    private static final String FAILED = "failed";

    private final EngineSettings settings;
    private final Map<String, Resident> residents = new LinkedHashMap<>();
    private final Map<String, OrderProgress> orders = new LinkedHashMap<>();
    private long highestFencing;

    EngineMemory(EngineSettings settings) {
        this.settings = settings;
    }

    void holdAtStart(Resident resident) {
        residents.put(resident.name(), resident.withState(READY));
    }

    boolean isReady(String name) {
        Resident resident = residents.get(name);
        return resident != null && resident.state().equals(READY);
    }

    Answer accept(EngineOrder order, Duration now) {
        if (orders.containsKey(order.orderId())) {
            return new Answer.Accepted(order.orderId());
        }
        if (settings.refusesOldFencing() && order.fencing() < highestFencing) {
            return new Answer.OldFencing(highestFencing);
        }
        highestFencing = Math.max(highestFencing, order.fencing());
        boolean isLoad = order.action().equals("load");
        long freeBytes = settings.memoryBytes() - usedBytes();
        boolean isNew = isLoad && !residents.containsKey(order.name());
        if (isNew && order.bytes() > freeBytes) {
            return new Answer.NoMemory(freeBytes);
        }
        if (isNew) {
            residents.put(
                    order.name(), new Resident(order.kind(), order.name(), order.version(), order.bytes(), LOADING));
        }
        Duration begin = now.plus(settings.orderDelay());
        Duration end = isLoad ? begin.plus(loadTime(order.bytes())) : begin;
        orders.put(order.orderId(), new OrderProgress(order, ACCEPTED, begin, end));
        return new Answer.Accepted(order.orderId());
    }

    /** Returns when the next order begins or ends; an unload that waits for a name in use has no time. */
    Optional<Duration> nextChange(Set<String> namesInUse) {
        return orders.values().stream()
                .filter(OrderProgress::isOpen)
                .filter(progress -> !progress.isWaitingFor(namesInUse))
                .map(progress -> progress.state().equals(ACCEPTED) ? progress.begin() : progress.end())
                .min(Duration::compareTo);
    }

    /** Carries out what is due; a model in use is unloaded once it is free. Returns whether something changed. */
    boolean advance(Duration now, Set<String> namesInUse) {
        boolean hasChanged = false;
        for (OrderProgress progress : List.copyOf(orders.values())) {
            hasChanged |= progress.isOpen() && advance(progress, now, namesInUse);
        }
        return hasChanged;
    }

    private boolean advance(OrderProgress progress, Duration now, Set<String> namesInUse) {
        if (progress.state().equals(ACCEPTED)) {
            if (progress.begin().compareTo(now) > 0) {
                return false;
            }
            begin(progress);
            advance(orders.get(progress.order().orderId()), now, namesInUse);
            return true;
        }
        String name = progress.order().name();
        boolean isUnload = progress.order().action().equals("unload");
        if (!progress.isOpen() || progress.end().compareTo(now) > 0 || (isUnload && namesInUse.contains(name))) {
            return false;
        }
        finish(progress, name, isUnload);
        return true;
    }

    private void begin(OrderProgress progress) {
        String name = progress.order().name();
        boolean isUnload = progress.order().action().equals("unload");
        if (isUnload && !isReady(name)) {
            set(progress, FAILED);
            return;
        }
        if (isUnload) {
            residents.computeIfPresent(name, (key, resident) -> resident.withState(UNLOADING));
        }
        set(progress, RUNNING);
    }

    private void finish(OrderProgress progress, String name, boolean isUnload) {
        if (isUnload) {
            residents.remove(name);
        } else {
            residents.computeIfPresent(name, (key, resident) -> resident.withState(READY));
        }
        set(progress, residents.containsKey(name) || isUnload ? DONE : FAILED);
    }

    private void set(OrderProgress progress, String state) {
        orders.put(progress.order().orderId(), progress.withState(state));
    }

    private Duration loadTime(long bytes) {
        return Duration.ofNanos((long) (bytes * NANOSECONDS_PER_SECOND / settings.loadBytesPerSecond()));
    }

    long usedBytes() {
        return residents.values().stream().mapToLong(Resident::bytes).sum();
    }

    long highestFencing() {
        return highestFencing;
    }

    List<Resident> residents() {
        return List.copyOf(residents.values());
    }

    List<OrderStatus> orders() {
        List<OrderStatus> statuses = new ArrayList<>();
        orders.values().stream()
                .skip(Math.max(0, orders.size() - REPORTED_ORDERS))
                .forEach(progress ->
                        statuses.add(new OrderStatus(progress.order().orderId(), progress.state())));
        return statuses;
    }

    private record OrderProgress(EngineOrder order, String state, Duration begin, Duration end) {
        OrderProgress withState(String changed) {
            return new OrderProgress(order, changed, begin, end);
        }

        boolean isWaitingFor(Set<String> namesInUse) {
            return state.equals(RUNNING) && order.action().equals("unload") && namesInUse.contains(order.name());
        }

        boolean isOpen() {
            return state.equals(ACCEPTED) || state.equals(RUNNING);
        }
    }
}
