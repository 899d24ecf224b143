package org.pollenhoist.serving.store;

import java.util.Comparator;

/**
 * A revision of the store. After the store has come back from an older copy, it assigns numbers again that it assigned
 * before; the era tells these histories apart. All revisions of an era are later than those of the eras before it.
 *
 * @param era the number of the history, which rises by one each time; 0 if the store names none
 * @param number the store's revision counter, 0 before the first change
 */
public record StoreRevision(long era, long number) implements Comparable<StoreRevision> {

    /** The revision before any change: the last change of a key that does not exist. */
    public static final StoreRevision NONE = new StoreRevision(0, 0);

    private static final Comparator<StoreRevision> ORDER =
            Comparator.comparingLong(StoreRevision::era).thenComparingLong(StoreRevision::number);

    /**
     * Creates a revision of a store that names no era.
     *
     * @param number the revision counter
     * @return the revision
     */
    public static StoreRevision withoutEra(long number) {
        return new StoreRevision(0, number);
    }

    /**
     * Returns whether this revision is later than another one.
     *
     * @param other the other revision
     * @return false if it is the same or an earlier one
     */
    public boolean isAfter(StoreRevision other) {
        return compareTo(other) > 0;
    }

    /**
     * Returns whether another revision belongs to the same history, so that the changes between the two are known.
     *
     * @param other the other revision
     * @return whether their eras are equal
     */
    public boolean isOfSameEra(StoreRevision other) {
        return era == other.era;
    }

    /**
     * Returns the later one of two revisions.
     *
     * @param first a revision
     * @param second another one
     * @return the first one if they are the same
     */
    public static StoreRevision later(StoreRevision first, StoreRevision second) {
        return second.isAfter(first) ? second : first;
    }

    @Override
    public int compareTo(StoreRevision other) {
        return ORDER.compare(this, other);
    }

    /** Returns the form in which logs show it: the number, after the era if the store names one. */
    @Override
    public String toString() {
        return era == 0 ? Long.toString(number) : era + "/" + number;
    }
}
