package org.pollenhoist.experiments.simulation;

import java.util.PriorityQueue;

/** The simulated time: runs actions in the order of their times. Not thread-safe. */
public final class EventQueue {

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

    /**
     * Returns the simulated time.
     *
     * @return the time since the start, in the unit of the caller's choice
     */
    public long now() {
        return now;
    }

    /**
     * Lets an action run later.
     *
     * @param time when; a time in the past counts as now
     * @param action the action
     */
    public void at(long time, Runnable action) {
        events.add(new Event(Math.max(now, time), nextNumber++, action));
    }

    /**
     * Lets an action run later.
     *
     * @param delay after how long
     * @param action the action
     */
    public void after(long delay, Runnable action) {
        at(now + delay, action);
    }

    /**
     * Runs all actions up to a time.
     *
     * @param end the time, at which the simulated time stands afterwards
     */
    public void runUntil(long end) {
        while (!events.isEmpty() && events.peek().time() <= end) {
            Event event = events.poll();
            now = event.time();
            event.action().run();
        }
        now = end;
    }
}
