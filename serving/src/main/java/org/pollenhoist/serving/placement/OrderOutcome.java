package org.pollenhoist.serving.placement;

/** The outcome of an order that was to be sent to an engine. */
public enum OrderOutcome {
    /** The engine has accepted the order and executes it. */
    ACCEPTED,
    /** The requested state was already in effect, or was reached at once. */
    DONE,
    /** Another order is in progress, or the engine's count of accepted orders differs from the expected one. */
    CONFLICT,
    /** The engine does not execute the order. */
    REJECTED,
    /** No response: the engine may have accepted the order, or may still execute it later. */
    UNKNOWN,
    /** The order was not sent. */
    NOT_SENT
}
