package org.pollenhoist.serving.placement;

/**
 * An order that a plan proposes for an engine.
 *
 * @param engine the engine's identifier
 * @param order the order
 * @param reason the reason for the order, for the decision log
 * @param reservedFor the model for which an unload frees memory, empty for other orders
 */
public record PlannedOrder(String engine, EngineOrder order, String reason, String reservedFor) {

    /**
     * Creates an order that reserves no memory for another model.
     *
     * @param engine the engine's identifier
     * @param order the order
     * @param reason the reason for the order, for the decision log
     */
    public PlannedOrder(String engine, EngineOrder order, String reason) {
        this(engine, order, reason, "");
    }
}
