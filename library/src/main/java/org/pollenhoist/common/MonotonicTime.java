package org.pollenhoist.common;

import java.time.Duration;

/**
 * A point in time of one process, on a clock that never steps. Deciding functions take it as their argument; only the
 * outermost adapters read the clock.
 *
 * <p>Points of different processes can't be compared: messages carry durations instead.
 *
 * @param nanoseconds nanoseconds since an arbitrary origin
 */
public record MonotonicTime(long nanoseconds) implements Comparable<MonotonicTime> {

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /**
     * Reads the clock of this process.
     *
     * @return the present time
     */
    public static MonotonicTime read() {
        return new MonotonicTime(System.nanoTime());
    }

    /**
     * Returns the point that lies the given duration after the origin, for tests and experiments.
     *
     * @param sinceOrigin the duration
     * @return the point
     */
    public static MonotonicTime of(Duration sinceOrigin) {
        return new MonotonicTime(sinceOrigin.toNanos());
    }

    /**
     * Returns the point that lies a duration later.
     *
     * @param duration the duration, negative for an earlier point
     * @return the point
     */
    public MonotonicTime plus(Duration duration) {
        return new MonotonicTime(nanoseconds + duration.toNanos());
    }

    /**
     * Returns how long after an earlier point this one lies.
     *
     * @param earlier the earlier point
     * @return the duration, negative where {@code earlier} is later
     */
    public Duration since(MonotonicTime earlier) {
        return Duration.ofNanos(nanoseconds - earlier.nanoseconds);
    }

    /**
     * Returns the seconds since an earlier point.
     *
     * @param earlier the earlier point
     * @return seconds, negative where {@code earlier} is later
     */
    public double secondsSince(MonotonicTime earlier) {
        return (nanoseconds - earlier.nanoseconds) / NANOSECONDS_PER_SECOND;
    }

    /**
     * Tells whether this point lies before another.
     *
     * @param other the other point
     * @return true where this one is earlier
     */
    public boolean isBefore(MonotonicTime other) {
        return nanoseconds - other.nanoseconds < 0;
    }

    /**
     * Returns the earlier of two times.
     *
     * @param other another time of the same clock
     * @return this time or the other one
     */
    public MonotonicTime earlierOf(MonotonicTime other) {
        return isBefore(other) ? this : other;
    }

    @Override
    public int compareTo(MonotonicTime other) {
        return Long.signum(nanoseconds - other.nanoseconds);
    }
}
