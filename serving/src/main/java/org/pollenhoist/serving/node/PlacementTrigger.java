package org.pollenhoist.serving.node;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.placement.Timer;

/**
 * Runs the placement when something has changed that it depends on. In a large fleet such changes come many times in a
 * millisecond, and each run looks at all engines, so they wait for each other for a short time. Confined to the event
 * loop.
 */
final class PlacementTrigger {

    /** Minimum time between two runs: less than the load of an adapter takes, for which requests wait. */
    private static final Duration SPACING = Duration.ofMillis(20);

    private final Timer timer;
    private final Supplier<MonotonicTime> clock;
    private final Consumer<MonotonicTime> placement;
    private MonotonicTime lastRunAt;
    private boolean isScheduled;

    /**
     * Creates a trigger.
     *
     * @param timer runs an action later
     * @param clock reads the current time
     * @param placement what is run, with the time at which it is
     */
    PlacementTrigger(Timer timer, Supplier<MonotonicTime> clock, Consumer<MonotonicTime> placement) {
        this.timer = timer;
        this.clock = clock;
        this.placement = placement;
        this.lastRunAt = clock.get().plus(SPACING.negated());
    }

    /** Lets the placement run soon: at once, or when the spacing since the last run has passed. */
    void request() {
        if (isScheduled) {
            return;
        }
        isScheduled = true;
        Duration remaining = SPACING.minus(clock.get().since(lastRunAt));
        timer.schedule(Collections.max(List.of(remaining, Duration.ZERO)), this::run);
    }

    private void run() {
        isScheduled = false;
        lastRunAt = clock.get();
        placement.accept(lastRunAt);
    }
}
