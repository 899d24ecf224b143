package org.pollenhoist.standins.engine;

import java.util.List;

/**
 * What an engine reports of itself; the members are those of the wire format.
 *
 * @param engine its name
 * @param incarnation changes with each start
 * @param sequence counts changes of state
 * @param ageMillis how old the report is, in milliseconds
 * @param running sequences that run
 * @param waiting sequences that wait
 * @param memoryBytes memory, in bytes
 * @param usedBytes memory in use or about to be, in bytes
 * @param leaving whether it is about to stop
 * @param residents models and adapters
 * @param orders the latest orders
 * @param highestFencing the highest fencing number seen
 */
public record EngineReport(
        String engine,
        String incarnation,
        long sequence,
        long ageMillis,
        int running,
        int waiting,
        long memoryBytes,
        long usedBytes,
        boolean leaving,
        List<Resident> residents,
        List<OrderStatus> orders,
        long highestFencing) {

    /** Copies the lists. */
    public EngineReport {
        residents = List.copyOf(residents);
        orders = List.copyOf(orders);
    }

    /**
     * Returns the report with its age and leaving flag.
     *
     * @param milliseconds the age in milliseconds
     * @param isLeaving whether the engine is about to stop
     * @return the report
     */
    EngineReport at(long milliseconds, boolean isLeaving) {
        return new EngineReport(
                engine,
                incarnation,
                sequence,
                milliseconds,
                running,
                waiting,
                memoryBytes,
                usedBytes,
                isLeaving,
                residents,
                orders,
                highestFencing);
    }

    /**
     * A model or adapter in memory.
     *
     * @param kind {@code model} or {@code adapter}
     * @param name its name
     * @param version its version
     * @param bytes its memory, in bytes
     * @param state {@code loading}, {@code ready} or {@code unloading}
     */
    public record Resident(String kind, String name, String version, long bytes, String state) {

        /**
         * Returns the resident in another state.
         *
         * @param changed the state
         * @return the resident
         */
        Resident withState(String changed) {
            return new Resident(kind, name, version, bytes, changed);
        }
    }

    /**
     * How far an order has come.
     *
     * @param orderId the order
     * @param state {@code accepted}, {@code running}, {@code done} or {@code failed}
     */
    public record OrderStatus(String orderId, String state) {}
}
