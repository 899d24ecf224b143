package org.pollenhoist.serving.placement;

/**
 * An order that is to be sent.
 *
 * @param engine the engine's identifier
 * @param order the order
 * @param reason why, for the log
 * @param roomFor the model for which a drop makes room, empty for other orders
 */
public record PlannedOrder(String engine, EngineOrder order, String reason, String roomFor) {

    /**
     * Creates an order that makes no room for a model.
     *
     * @param engine the engine's identifier
     * @param order the order
     * @param reason why, for the log
     */
    public PlannedOrder(String engine, EngineOrder order, String reason) {
        this(engine, order, reason, "");
    }
}
