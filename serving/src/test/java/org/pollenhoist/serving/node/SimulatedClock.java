package org.pollenhoist.serving.node;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.pollenhoist.common.MonotonicTime;

/** The clock of a simulation, which goes on from one event to the next. */
final class SimulatedClock {

    private static final long START_MILLISECONDS = 1_000_000;

    private record Event(long at, long number, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private long milliseconds = START_MILLISECONDS;
    private long nextNumber;

    MonotonicTime now() {
        return MonotonicTime.of(Duration.ofMillis(milliseconds));
    }

    long milliseconds() {
        return milliseconds;
    }

    /** Runs an action after a delay; those that are due at the same time run in the order in which they were added. */
    void after(long delayMilliseconds, Runnable action) {
        events.add(new Event(milliseconds + delayMilliseconds, nextNumber++, action));
    }

    /** Runs all that is due within a period and ends at its end. */
    void run(long durationMilliseconds) {
        long end = milliseconds + durationMilliseconds;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            milliseconds = event.at();
            event.action().run();
        }
        milliseconds = end;
    }
}
