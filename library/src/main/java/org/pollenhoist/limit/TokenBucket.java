package org.pollenhoist.limit;

/**
 * A token bucket whose reservations can be settled below their bound. Not thread-safe.
 *
 * <p>A settled reservation counts as if only the used tokens had been taken at its admission. That holds only for as
 * many returned tokens as the bucket had room for at every moment since the admission: beyond that, the refill in
 * between would have overflowed, and giving the tokens back would allow more than burst and rate.
 */
final class TokenBucket {

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Part of reserved tokens that is expected to come back. */
    private static final double KEPT_FOR_RETURNS = 0.5;

    private final Outstanding oldest = new Outstanding(0);
    private Outstanding newest = oldest;
    private double capacity;
    private double tokensPerSecond;
    private double level;
    private long refilledAt;
    private double outstandingTokens;

    TokenBucket(long now) {
        this.refilledAt = now;
    }

    /** A reservation that is not settled yet, with the least room the bucket had while it was the newest one. */
    static final class Outstanding {
        private final double bound;
        private double leastRoom = Double.MAX_VALUE;
        private Outstanding previous;
        private Outstanding next;
        private boolean isSettled;

        private Outstanding(double bound) {
            this.bound = bound;
        }
    }

    double level() {
        return level;
    }

    double capacity() {
        return capacity;
    }

    double tokensPerSecond() {
        return tokensPerSecond;
    }

    /** Returns the unused capacity that is not kept for what running reservations will probably give back. */
    double spareRoom() {
        double room = capacity - Math.max(0, level);
        return Math.max(0, room - probableReturns());
    }

    double room() {
        return Math.max(0, capacity - Math.max(0, level));
    }

    /** Returns the tokens that running reservations will probably give back. */
    double probableReturns() {
        return KEPT_FOR_RETURNS * outstandingTokens;
    }

    /** Returns the part of this bucket that can go without taking the room for probable returns. */
    double spareFraction() {
        double room = capacity - Math.max(0, level);
        return outstandingTokens <= 0 ? 1 : room <= 0 ? 0 : spareRoom() / room;
    }

    long refilledAt() {
        return refilledAt;
    }

    /** Refills up to a time. A time before the last one changes nothing: threads may arrive out of order. */
    void advance(long now) {
        if (now <= refilledAt) {
            return;
        }
        double refill = tokensPerSecond * ((now - refilledAt) / NANOSECONDS_PER_SECOND);
        refilledAt = now;
        level = Math.min(capacity, level + refill);
        noteRoom();
    }

    void resize(double newTokensPerSecond, double newCapacity) {
        tokensPerSecond = newTokensPerSecond;
        capacity = newCapacity;
        level = Math.min(level, capacity);
        noteRoom();
    }

    /** Adds tokens up to the capacity. */
    void add(double tokens) {
        level = Math.min(capacity, level + tokens);
        noteRoom();
    }

    void remove(double tokens) {
        level -= tokens;
    }

    Outstanding reserve(double bound) {
        level -= bound;
        Outstanding reservation = new Outstanding(bound);
        reservation.previous = newest;
        newest.next = reservation;
        newest = reservation;
        outstandingTokens += bound;
        noteRoom();
        return reservation;
    }

    /**
     * Settles a reservation.
     *
     * @return the tokens that went back, negative where more was used than reserved; 0 where it was settled before
     */
    double settle(Outstanding reservation, double usedTokens) {
        if (reservation.isSettled) {
            return 0;
        }
        reservation.isSettled = true;
        double credit = Math.min(reservation.bound - usedTokens, leastRoomSince(reservation));
        if (credit > 0) {
            takeRoomSince(reservation, credit);
        }
        unlink(reservation);
        level += credit;
        noteRoom();
        return credit;
    }

    private double leastRoomSince(Outstanding reservation) {
        double least = Double.MAX_VALUE;
        for (Outstanding later = reservation; later != null; later = later.next) {
            least = Math.min(least, later.leastRoom);
        }
        return least;
    }

    private static void takeRoomSince(Outstanding reservation, double tokens) {
        for (Outstanding later = reservation; later != null; later = later.next) {
            later.leastRoom -= tokens;
        }
    }

    private void unlink(Outstanding reservation) {
        reservation.previous.leastRoom = Math.min(reservation.previous.leastRoom, reservation.leastRoom);
        reservation.previous.next = reservation.next;
        if (reservation.next == null) {
            newest = reservation.previous;
        } else {
            reservation.next.previous = reservation.previous;
        }
        outstandingTokens -= reservation.bound;
    }

    private void noteRoom() {
        newest.leastRoom = Math.min(newest.leastRoom, capacity - level);
    }
}
