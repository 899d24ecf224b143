package org.pollenhoist.operator;

import java.time.Duration;

/** Waits between two tries. */
@FunctionalInterface
public interface Pause {

    /**
     * Waits.
     *
     * @param duration how long
     */
    void pause(Duration duration);

    /**
     * Returns a pause on the clock of this process.
     *
     * @return the pause
     */
    static Pause sleeping() {
        return duration -> {
            try {
                Thread.sleep(duration.toMillis());
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        };
    }
}
