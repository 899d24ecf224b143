package org.pollenhoist.serving.placement;

/**
 * The recent work requested of a model, as two exponentially decaying sums.
 *
 * @param quickSeconds work in engine seconds, decaying with a half-life of {@link #QUICK_HALF_LIFE_SECONDS}
 * @param slowSeconds the same with a half-life of {@link #SLOW_HALF_LIFE_SECONDS}
 */
public record RecentWork(double quickSeconds, double slowSeconds) {

    /** Half-life of the short-term sum. With a shorter one, single requests would dominate the sum. */
    static final double QUICK_HALF_LIFE_SECONDS = 1;

    /** Half-life of the longer-term sum. Demand shifts between models within some five seconds. */
    static final double SLOW_HALF_LIFE_SECONDS = 3;

    /** No work. */
    public static final RecentWork NONE = new RecentWork(0, 0);

    /**
     * Returns this work after further decay.
     *
     * @param seconds the time that has passed
     * @return the decayed work
     */
    RecentWork after(double seconds) {
        return new RecentWork(
                quickSeconds * Math.pow(0.5, seconds / QUICK_HALF_LIFE_SECONDS),
                slowSeconds * Math.pow(0.5, seconds / SLOW_HALF_LIFE_SECONDS));
    }

    /** Returns this work plus work that is requested now, in engine seconds. */
    RecentWork plus(double seconds) {
        return new RecentWork(quickSeconds + seconds, slowSeconds + seconds);
    }
}
