package org.pollenhoist.serving.placement;

import java.time.Duration;

/** Runs something later, on the event loop to which the caller is confined. */
@FunctionalInterface
public interface Timer {

    /**
     * Runs an action once.
     *
     * @param delay after how long
     * @param action the action
     */
    void schedule(Duration delay, Runnable action);
}
