package org.pollenhoist.serving.returns;

import java.time.Duration;
import java.util.Comparator;
import java.util.OptionalDouble;
import java.util.TreeSet;
import org.pollenhoist.common.MonotonicTime;

/** The promised returns to one pool. */
final class PromisedReturns {

    /** How long after its time a promise still counts: a caller's return takes a new connection and a queue. */
    private static final Duration EXPIRY = Duration.ofMillis(300);

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final StartRate startRate = new StartRate();
    private final TreeSet<Promise> promises = new TreeSet<>();
    private long lastNumber;

    /**
     * A promised slot.
     *
     * @param slotStart when the slot begins
     * @param priority the priority of the caller; 0 is the highest
     * @param number tells apart promises of the same slot
     */
    private record Promise(MonotonicTime slotStart, int priority, long number) implements Comparable<Promise> {

        private static final Comparator<Promise> ORDER =
                Comparator.comparing(Promise::slotStart).thenComparingLong(Promise::number);

        @Override
        public int compareTo(Promise other) {
            return ORDER.compare(this, other);
        }
    }

    void recordStart(MonotonicTime now) {
        startRate.recordStart(now);
        if (!promises.isEmpty() && !now.isBefore(promises.first().slotStart())) {
            promises.pollFirst();
        }
    }

    Return promise(ReturnRequest request, MonotonicTime now) {
        OptionalDouble startsPerSecond = startRate.perSecond(now);
        if (startsPerSecond.isEmpty()) {
            return new Return.Unreckoned(request.earliest());
        }
        expire(now);
        Duration slot = Duration.ofNanos(Math.round(NANOSECONDS_PER_SECOND / startsPerSecond.getAsDouble()));
        MonotonicTime slotStart = firstFreeSlot(request, slot, now);
        Duration wait = slotStart.since(now);
        if (wait.compareTo(request.latest()) > 0 || promises.size() >= ReturnLedger.MAXIMUM_PROMISES) {
            return new Return.Never(wait);
        }
        promises.add(new Promise(slotStart, request.priority(), ++lastNumber));
        boolean isFirst = wait.equals(request.earliest());
        return new Return.At(isFirst ? wait : spread(wait, slot, request));
    }

    /** Spreads callers within their slots, so that those of several VMs don't meet. */
    private static Duration spread(Duration wait, Duration slot, ReturnRequest request) {
        long offset = Math.floorMod(request.arrivedAt().nanoseconds(), Math.max(1, slot.toNanos()));
        Duration told = wait.plus(Duration.ofNanos(offset));
        return told.compareTo(request.latest()) < 0 ? told : request.latest();
    }

    /** Returns the earliest time for a request at which no slot is promised to one of its priority or a higher one. */
    private MonotonicTime firstFreeSlot(ReturnRequest request, Duration slot, MonotonicTime now) {
        MonotonicTime free = now.plus(request.earliest());
        MonotonicTime dueServed = now;
        for (Promise promise : promises) {
            if (promise.priority() > request.priority()) {
                continue;
            }
            if (!now.isBefore(promise.slotStart())) {
                // Its caller has returned or is about to, and takes one of the next starts.
                dueServed = dueServed.plus(slot);
                free = free.isBefore(dueServed) ? dueServed : free;
            } else if (!promise.slotStart().isBefore(free.plus(slot))) {
                return free;
            } else if (free.isBefore(promise.slotStart().plus(slot))) {
                free = promise.slotStart().plus(slot);
            }
        }
        return free;
    }

    int outstanding(MonotonicTime now) {
        expire(now);
        return promises.size();
    }

    boolean isIdle(MonotonicTime now) {
        return outstanding(now) == 0 && startRate.perSecond(now).isEmpty();
    }

    private void expire(MonotonicTime now) {
        while (!promises.isEmpty() && promises.first().slotStart().plus(EXPIRY).isBefore(now)) {
            promises.pollFirst();
        }
    }
}
