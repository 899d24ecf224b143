package org.pollenhoist.serving.node;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;

/**
 * Steps that an event loop takes again and again. An exception or error in a step is logged and ends neither the task,
 * which an event loop cancels for good once it throws, nor the steps after it. Confined to the event loop.
 */
final class PeriodicTask implements Runnable {

    private static final DecisionLog LOG = DecisionLog.of("node");

    private final Supplier<MonotonicTime> clock;
    private final List<Consumer<MonotonicTime>> steps;

    /**
     * Creates a task.
     *
     * @param clock read before each step
     * @param steps the steps, in their order; each receives the present time
     */
    PeriodicTask(Supplier<MonotonicTime> clock, List<Consumer<MonotonicTime>> steps) {
        this.clock = clock;
        this.steps = List.copyOf(steps);
    }

    @Override
    public void run() {
        steps.forEach(this::take);
    }

    private void take(Consumer<MonotonicTime> step) {
        try {
            step.accept(clock.get());
        } catch (RuntimeException | Error failure) {
            LOG.event("tick_failed", "reason", failure, "at", place(failure));
        }
    }

    /** Returns where a failure was thrown; the virtual machine leaves that out of failures that it throws often. */
    private static String place(Throwable failure) {
        return Stream.of(failure.getStackTrace())
                .findFirst()
                .map(StackTraceElement::toString)
                .orElse("unknown");
    }
}
