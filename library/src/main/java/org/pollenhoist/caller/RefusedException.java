package org.pollenhoist.caller;

import org.pollenhoist.common.PollenhoistException;

/** Ends the handling of a request with a refusal. */
public final class RefusedException extends PollenhoistException {

    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    private RefusedException(Refusal refusal) {
        super(refusal.code(), refusal.message());
        this.refusal = refusal;
    }

    /**
     * Wraps a refusal.
     *
     * @param refusal what the caller gets
     * @return the exception
     */
    public static RefusedException of(Refusal refusal) {
        return new RefusedException(refusal);
    }

    /**
     * Returns what the caller gets.
     *
     * @return the refusal
     */
    public Refusal refusal() {
        return refusal;
    }
}
