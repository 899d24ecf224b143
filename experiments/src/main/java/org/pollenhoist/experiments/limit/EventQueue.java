package org.pollenhoist.experiments.limit;

import java.util.PriorityQueue;

/** The simulated time: runs actions in the order of their times. Not thread-safe. */
final class EventQueue {

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;
    private long nextNumber;

    private record Event(long time, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(time, other.time);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    long now() {
        return now;
    }

    void at(long time, Runnable action) {
        events.add(new Event(Math.max(now, time), nextNumber++, action));
    }

    void after(long delay, Runnable action) {
        at(now + delay, action);
    }

    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().time() <= end) {
            Event event = events.poll();
            now = event.time();
            event.action().run();
        }
        now = end;
    }
}
