package org.pollenhoist.limit;

import java.util.List;
import org.pollenhoist.common.MonotonicTime;

/**
 * The parts of every team's limit that the platform's record assigns to this process, each with the time in which it
 * may be used. The times are points on this process's own clock, so that a process that was paused past the end stops
 * using a part without hearing from anybody.
 *
 * @param pieces the pieces
 */
public record HomeShare(List<Piece> pieces) {

    private static final HomeShare NONE = new HomeShare(List.of());

    /** Copies the pieces. */
    public HomeShare {
        pieces = List.copyOf(pieces);
    }

    /**
     * A part of every team's rate and burst.
     *
     * @param parts how many parts of {@link Parts#WHOLE}
     * @param from when it may first be used
     * @param until when it may no longer be used
     */
    public record Piece(long parts, MonotonicTime from, MonotonicTime until) {

        boolean isActive(long nanoseconds) {
            return from.nanoseconds() <= nanoseconds && nanoseconds < until.nanoseconds();
        }
    }

    /**
     * Returns the share of a process that has nothing yet.
     *
     * @return the empty share
     */
    public static HomeShare none() {
        return NONE;
    }

    /**
     * Returns the parts that may be used at a time.
     *
     * @param now the time
     * @return parts of {@link Parts#WHOLE}
     */
    public long activeParts(MonotonicTime now) {
        return activeParts(now.nanoseconds());
    }

    long activeParts(long nanoseconds) {
        long sum = 0;
        for (Piece piece : pieces) {
            sum += piece.isActive(nanoseconds) ? piece.parts() : 0;
        }
        return sum;
    }

    /** Returns the first time after the given one at which a piece begins or ends. */
    long nextChange(long nanoseconds) {
        long next = Long.MAX_VALUE;
        for (Piece piece : pieces) {
            next = earlierChange(next, piece.from().nanoseconds(), nanoseconds);
            next = earlierChange(next, piece.until().nanoseconds(), nanoseconds);
        }
        return next;
    }

    private static long earlierChange(long known, long candidate, long after) {
        return candidate > after ? Math.min(known, candidate) : known;
    }
}
