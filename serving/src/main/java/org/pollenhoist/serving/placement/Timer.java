package org.pollenhoist.serving.placement;

import java.time.Duration;

/** Schedules actions on the event loop to which the caller is confined. */
@FunctionalInterface
public interface Timer {

    /**
     * Runs an action once after a delay.
     *
     * @param delay the delay
     * @param action the action
     */
    void schedule(Duration delay, Runnable action);
}
