package org.pollenhoist.serving.placement;

/** What an engine said to an order. */
public enum OrderOutcome {
    /** It is being carried out. */
    ACCEPTED,
    /** What was ordered holds already, or was done at once. */
    DONE,
    /** Another order is in progress, or the expected count of orders differs. */
    CONFLICT,
    /** It will not be carried out. */
    REJECTED,
    /** No answer: it may have been accepted, or may be carried out later. */
    UNKNOWN,
    /** It was not sent. */
    NOT_SENT
}
