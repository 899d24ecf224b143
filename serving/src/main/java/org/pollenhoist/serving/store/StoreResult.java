package org.pollenhoist.serving.store;

/**
 * The result of a call to the store.
 *
 * @param <T> the type of the value that a successful call returns
 */
public sealed interface StoreResult<T> {

    /**
     * The call succeeded.
     *
     * @param <T> the type of the value
     * @param value the value that the store returned
     */
    record Success<T>(T value) implements StoreResult<T> {}

    /**
     * The store refused the call and changed nothing: a condition did not hold, the lease had ended, or the history
     * asked for was no longer available.
     *
     * @param <T> the type of the value that a successful call returns
     * @param reason the reason that the store gave
     */
    record Rejected<T>(String reason) implements StoreResult<T> {}

    /**
     * There was no response, or none from which the outcome can be told: the call may have taken effect or may still do
     * so.
     *
     * @param <T> the type of the value that a successful call returns
     * @param reason the failure that was observed
     */
    record Unavailable<T>(String reason) implements StoreResult<T> {}
}
