package org.pollenhoist.serving.placement;

/**
 * Work that was asked of a model lately, where older work counts less.
 *
 * @param quickSeconds seconds of one engine's work, of which half is forgotten every {@link #QUICK_HALF_LIFE_SECONDS}
 * @param slowSeconds the same with {@link #SLOW_HALF_LIFE_SECONDS}
 */
public record RecentWork(double quickSeconds, double slowSeconds) {

    /** Time in which half of the memory of the last moments fades; shorter ones show single requests. */
    static final double QUICK_HALF_LIFE_SECONDS = 1;

    /** Time in which half of the memory of earlier demand fades; demand moves within some five seconds. */
    static final double SLOW_HALF_LIFE_SECONDS = 3;

    /** No work. */
    public static final RecentWork NONE = new RecentWork(0, 0);

    /**
     * Returns what is left of this work later.
     *
     * @param seconds the time that has passed since
     * @return the work that still counts
     */
    RecentWork after(double seconds) {
        return new RecentWork(
                quickSeconds * Math.pow(0.5, seconds / QUICK_HALF_LIFE_SECONDS),
                slowSeconds * Math.pow(0.5, seconds / SLOW_HALF_LIFE_SECONDS));
    }

    /** Returns this work with some that is asked for now. */
    RecentWork plusNew(double seconds) {
        return new RecentWork(quickSeconds + seconds, slowSeconds + seconds);
    }
}
