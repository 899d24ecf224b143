package org.pollenhoist.serving.placement;

/**
 * An order that is to be sent.
 *
 * @param engine the engine's identifier
 * @param order the order
 * @param reason why, for the log
 */
public record PlannedOrder(String engine, EngineOrder order, String reason) {}
