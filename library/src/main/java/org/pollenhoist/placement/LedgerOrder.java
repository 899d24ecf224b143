package org.pollenhoist.placement;

import org.pollenhoist.upstream.EngineOrder;

/**
 * An order that was written to a ledger before it was sent.
 *
 * @param order the order
 * @param incarnation the engine's incarnation that it is for
 * @param state what is known of it
 */
public record LedgerOrder(EngineOrder order, String incarnation, State state) {

    /** What is known of an order. */
    public enum State {
        /** It may still take effect. */
        OPEN,
        /** The engine has ended it or is another incarnation by now; a late copy may still arrive. */
        SETTLED
    }

    LedgerOrder settled() {
        return new LedgerOrder(order, incarnation, State.SETTLED);
    }

    boolean isOpen() {
        return state == State.OPEN;
    }
}
