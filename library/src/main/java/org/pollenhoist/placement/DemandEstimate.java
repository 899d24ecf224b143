package org.pollenhoist.placement;

import org.pollenhoist.common.MonotonicTime;

/**
 * A model's demand, smoothed. It rises within seconds and falls within minutes: reports that lag or waver cause no
 * moves, and a short lull does not give up copies.
 *
 * @param sequences concurrent sequences
 * @param updatedAt when it was last updated
 */
public record DemandEstimate(double sequences, MonotonicTime updatedAt) {

    /**
     * Takes in a measurement.
     *
     * @param measured concurrent sequences
     * @param settings the time constants
     * @param now the present time
     * @return the new estimate
     */
    public DemandEstimate with(double measured, PolicySettings settings, MonotonicTime now) {
        double seconds = Math.max(0, now.secondsSince(updatedAt));
        double constant = measured > sequences
                ? settings.riseTime().toMillis()
                : settings.fallTime().toMillis();
        double weight = 1 - Math.exp(-seconds * MILLISECONDS_PER_SECOND / constant);
        return new DemandEstimate(sequences + weight * (measured - sequences), now);
    }

    private static final double MILLISECONDS_PER_SECOND = 1000;
}
