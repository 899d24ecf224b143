package org.pollenhoist.serving.returns;

import java.time.Duration;

/** When a refused caller is to return. */
public sealed interface Return {

    /**
     * Returns the time that the caller is told.
     *
     * @return time from now
     */
    Duration after();

    /**
     * Room is reckoned for the caller, and is promised to no other caller of its priority.
     *
     * @param after time from now at which it is to return
     */
    record At(Duration after) implements Return {}

    /**
     * There is no room in the time that the caller can wait. Nothing is promised.
     *
     * @param after time from now at which there would be room
     */
    record Never(Duration after) implements Return {}

    /**
     * Too few requests have started lately to reckon with. Nothing is promised.
     *
     * @param after the earliest time from now at which there may be room
     */
    record Unreckoned(Duration after) implements Return {}
}
