package org.pollenhoist.standins.engine;

/**
 * An order to an engine; the members are those of the wire format.
 *
 * @param orderId its identifier; an order that comes again has no further effect
 * @param fencing the sender's fencing number
 * @param action {@code load} or {@code unload}
 * @param kind {@code model} or {@code adapter}
 * @param name what to load or unload
 * @param version its version
 * @param bytes its memory, in bytes
 */
public record EngineOrder(
        String orderId, long fencing, String action, String kind, String name, String version, long bytes) {

    /** What an engine answers to an order. */
    public sealed interface Answer {

        /**
         * It will be carried out.
         *
         * @param orderId the order
         */
        record Accepted(String orderId) implements Answer {}

        /**
         * Its fencing number is old.
         *
         * @param highestFencing the highest number seen
         */
        record OldFencing(long highestFencing) implements Answer {}

        /**
         * Its model does not fit.
         *
         * @param freeBytes the memory that is free, in bytes
         */
        record NoMemory(long freeBytes) implements Answer {}
    }
}
