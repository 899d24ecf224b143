package org.pollenhoist.serving.store;

/**
 * What became of a call to the store.
 *
 * @param <T> what an answer holds
 */
public sealed interface StoreResult<T> {

    /**
     * The store answered.
     *
     * @param <T> what the answer holds
     * @param value the content
     */
    record Success<T>(T value) implements StoreResult<T> {}

    /**
     * The store did nothing: a condition did not hold, the lease has ended, or the history is no longer there.
     *
     * @param <T> what an answer would hold
     * @param reason what the store said
     */
    record Rejected<T>(String reason) implements StoreResult<T> {}

    /**
     * No answer, or one that says nothing: the call may have taken effect, or may yet.
     *
     * @param <T> what an answer would hold
     * @param reason what was seen
     */
    record Unavailable<T>(String reason) implements StoreResult<T> {}
}
