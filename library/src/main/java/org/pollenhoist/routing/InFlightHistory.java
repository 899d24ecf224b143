package org.pollenhoist.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Iterator;
import org.pollenhoist.common.MonotonicTime;

/**
 * The exact count of own requests at one upstream, now and at any moment of the last seconds. Not thread-safe: guarded
 * by the table's lock.
 */
final class InFlightHistory {

    private static final Duration REMEMBERED = Duration.ofSeconds(10);

    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private int current;

    private record Change(MonotonicTime time, int countAfter) {}

    void change(int difference, MonotonicTime now) {
        current += difference;
        changes.addLast(new Change(now, current));
        MonotonicTime oldest = now.plus(REMEMBERED.negated());
        while (changes.size() > 1 && secondOldest().time().isBefore(oldest)) {
            changes.removeFirst();
        }
    }

    int current() {
        return current;
    }

    /** The count at an earlier moment; 0 where the moment lies before all that is remembered. */
    int countAt(MonotonicTime time) {
        Iterator<Change> latestFirst = changes.descendingIterator();
        while (latestFirst.hasNext()) {
            Change change = latestFirst.next();
            if (!time.isBefore(change.time())) {
                return change.countAfter();
            }
        }
        return 0;
    }

    private Change secondOldest() {
        Iterator<Change> iterator = changes.iterator();
        iterator.next();
        return iterator.next();
    }
}
