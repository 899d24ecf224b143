package org.pollenhoist.upstream;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * What an engine says about itself: one consistent snapshot, taken {@code age} before it was sent.
 *
 * @param engine the engine's name for itself
 * @param incarnation changes with each start of the engine, which then is empty
 * @param sequence grows with each snapshot of one incarnation
 * @param age how old the snapshot was when it was sent
 * @param running sequences being generated
 * @param waiting sequences waiting for a place in the batch
 * @param memoryBytes accelerator memory for items, in bytes
 * @param usedBytes accelerator memory taken, in bytes
 * @param isLeaving whether the engine is about to stop
 * @param residents the items that it holds, also those being loaded or unloaded
 * @param orders the orders that it has accepted
 * @param highestFencing the highest fencing number of an accepted order, 0 where there is none
 */
public record EngineReport(
        String engine,
        String incarnation,
        long sequence,
        Duration age,
        int running,
        int waiting,
        long memoryBytes,
        long usedBytes,
        boolean isLeaving,
        List<Resident> residents,
        List<ReportedOrder> orders,
        long highestFencing) {

    /** Copies the lists. */
    public EngineReport {
        residents = List.copyOf(residents);
        orders = List.copyOf(orders);
    }

    /** The states of a resident item. */
    public enum ResidentState {
        /** Being read from the weight store. */
        LOADING,
        /** Answers requests. */
        READY,
        /** Being removed. */
        UNLOADING
    }

    /** The states of an order. */
    public enum OrderState {
        /** Not yet begun. */
        ACCEPTED,
        /** Begun. */
        RUNNING,
        /** Ended as asked. */
        DONE,
        /** Ended without effect. */
        FAILED;

        /**
         * Tells whether the order has ended.
         *
         * @return whether it is done or failed
         */
        public boolean isEnded() {
            return this == DONE || this == FAILED;
        }
    }

    /**
     * An item in accelerator memory.
     *
     * @param item the item
     * @param bytes memory that it takes, in bytes
     * @param state its state
     */
    public record Resident(EngineItem item, long bytes, ResidentState state) {}

    /**
     * An order that the engine has accepted.
     *
     * @param identifier the order's identifier
     * @param state its state
     */
    public record ReportedOrder(String identifier, OrderState state) {}

    /**
     * Returns the state of an order.
     *
     * @param identifier the order's identifier
     * @return its state, or empty where the engine does not list it
     */
    public Optional<OrderState> orderState(String identifier) {
        return orders.stream()
                .filter(order -> order.identifier().equals(identifier))
                .map(ReportedOrder::state)
                .findFirst();
    }

    /**
     * Tells whether an item answers requests.
     *
     * @param item the item
     * @return whether it is resident and ready
     */
    public boolean isReady(EngineItem item) {
        return residents.stream()
                .anyMatch(resident -> resident.item().equals(item) && resident.state() == ResidentState.READY);
    }
}
