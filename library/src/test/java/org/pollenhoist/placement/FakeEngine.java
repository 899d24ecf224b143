package org.pollenhoist.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.pollenhoist.configuration.Upstream;
import org.pollenhoist.upstream.EngineItem;
import org.pollenhoist.upstream.EngineOrder;
import org.pollenhoist.upstream.EngineReport;
import org.pollenhoist.upstream.EngineReport.OrderState;
import org.pollenhoist.upstream.EngineReport.ResidentState;
import org.pollenhoist.upstream.OrderAnswer;

/** An engine that does as it is told: it loads beyond its memory where an order asks for it. */
final class FakeEngine {

    private static final int KEPT_SNAPSHOTS = 8;

    final Upstream upstream;
    private final boolean remembersOrders;
    private final Map<EngineItem, EngineReport.Resident> residents = new TreeMap<>();
    private final Map<String, OrderState> orders = new TreeMap<>();
    private final Map<EngineItem, EngineOrder> running = new TreeMap<>();
    private final List<EngineReport> snapshots = new ArrayList<>();
    private int incarnation = 1;
    private long sequence;
    private long highestFencing;
    private boolean isUp = true;

    FakeEngine(Upstream upstream, boolean remembersOrders) {
        this.upstream = upstream;
        this.remembersOrders = remembersOrders;
    }

    String incarnation() {
        return "i" + incarnation;
    }

    boolean isUp() {
        return isUp;
    }

    void crash() {
        isUp = false;
        residents.clear();
        orders.clear();
        running.clear();
        snapshots.clear();
        highestFencing = 0;
        sequence = 0;
        incarnation++;
    }

    void start() {
        isUp = true;
    }

    long usedBytes() {
        return residents.values().stream()
                .mapToLong(EngineReport.Resident::bytes)
                .sum();
    }

    boolean isReady(String model) {
        return residents.values().stream()
                .anyMatch(resident -> resident.item().kind() == EngineItem.Kind.MODEL
                        && resident.item().name().equals(model)
                        && resident.state() == ResidentState.READY);
    }

    boolean isReady(EngineItem item) {
        return residents.containsKey(item) && residents.get(item).state() == ResidentState.READY;
    }

    /** Returns the order where it has begun a load or an unload. */
    Optional<EngineOrder> accept(EngineOrder order) {
        boolean isOld = upstream.refusesOldFencing() && order.fencing() < highestFencing;
        boolean isKnown = remembersOrders && orders.containsKey(order.identifier());
        if (!isUp || isOld || isKnown) {
            return Optional.empty();
        }
        highestFencing = Math.max(highestFencing, order.fencing());
        EngineReport.Resident present = residents.get(order.item());
        if (running.containsKey(order.item()) || (present != null) == order.isLoad()) {
            orders.put(order.identifier(), order.isLoad() ? OrderState.DONE : OrderState.FAILED);
            return Optional.empty();
        }
        orders.put(order.identifier(), OrderState.RUNNING);
        running.put(order.item(), order);
        long bytes = order.isLoad() ? order.bytes() : present.bytes();
        ResidentState state = order.isLoad() ? ResidentState.LOADING : ResidentState.UNLOADING;
        residents.put(order.item(), new EngineReport.Resident(order.item(), bytes, state));
        return Optional.of(order);
    }

    OrderAnswer answer(EngineOrder order) {
        boolean isOld = upstream.refusesOldFencing() && order.fencing() < highestFencing;
        return isOld ? new OrderAnswer.RefusedOldFencing(highestFencing) : new OrderAnswer.Accepted();
    }

    void finish(EngineOrder order) {
        running.remove(order.item());
        orders.put(order.identifier(), OrderState.DONE);
        if (order.isLoad()) {
            residents.put(order.item(), new EngineReport.Resident(order.item(), order.bytes(), ResidentState.READY));
        } else {
            residents.remove(order.item());
        }
    }

    void takeSnapshot() {
        if (!isUp) {
            return;
        }
        sequence++;
        List<EngineReport.ReportedOrder> listed = new ArrayList<>();
        orders.forEach((identifier, state) -> listed.add(new EngineReport.ReportedOrder(identifier, state)));
        snapshots.add(new EngineReport(
                upstream.name().value(),
                incarnation(),
                sequence,
                Duration.ZERO,
                0,
                0,
                upstream.memoryBytes(),
                usedBytes(),
                false,
                List.copyOf(residents.values()),
                listed,
                highestFencing));
        if (snapshots.size() > KEPT_SNAPSHOTS) {
            snapshots.remove(0);
        }
    }

    Optional<EngineReport> report(int snapshotsBack) {
        if (!isUp || snapshots.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(snapshots.get(Math.max(0, snapshots.size() - 1 - snapshotsBack)));
    }
}
