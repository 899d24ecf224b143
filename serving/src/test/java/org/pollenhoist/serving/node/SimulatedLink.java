package org.pollenhoist.serving.node;

/** The link of a VM or of the store, with a bandwidth in each direction. What goes through it keeps its order. */
final class SimulatedLink {

    private static final double BYTES_PER_MILLISECOND_OF_MEGABIT = 125;

    /** One direction, which carries one segment after the other. */
    static final class Direction {

        private final double bytesPerMillisecond;
        private double freeAt;

        private Direction(double bytesPerMillisecond) {
            this.bytesPerMillisecond = bytesPerMillisecond;
        }

        /** Takes a segment up and returns in how many milliseconds its last byte has come through. */
        long carry(long bytes, long nowMilliseconds) {
            freeAt = Math.max(freeAt, (double) nowMilliseconds) + bytes / bytesPerMillisecond;
            return (long) Math.ceil(freeAt - nowMilliseconds);
        }
    }

    private final Direction outgoing;
    private final Direction incoming;
    private final int megabitsPerSecond;

    private SimulatedLink(int megabitsPerSecond, double bytesPerMillisecond) {
        this.megabitsPerSecond = megabitsPerSecond;
        this.outgoing = new Direction(bytesPerMillisecond);
        this.incoming = new Direction(bytesPerMillisecond);
    }

    /** Creates a link that carries everything at once. */
    static SimulatedLink unlimited() {
        return new SimulatedLink(0, Double.POSITIVE_INFINITY);
    }

    /**
     * Creates a link.
     *
     * @param megabitsPerSecond its bandwidth in each direction
     * @param callersShare the share of it that callers' traffic takes all the time
     */
    static SimulatedLink of(int megabitsPerSecond, double callersShare) {
        double bytesPerMillisecond = megabitsPerSecond * (1 - callersShare) * BYTES_PER_MILLISECOND_OF_MEGABIT;
        return new SimulatedLink(megabitsPerSecond, bytesPerMillisecond);
    }

    Direction outgoing() {
        return outgoing;
    }

    Direction incoming() {
        return incoming;
    }

    /** Returns the bandwidth in each direction, callers' share included, or 0 for no limit. */
    int megabitsPerSecond() {
        return megabitsPerSecond;
    }

    boolean isLimited() {
        return megabitsPerSecond > 0;
    }
}
