package org.pollenhoist.placement;

import java.time.Duration;

/**
 * How the policy weighs.
 *
 * @param sequencesPerAccelerator concurrent sequences that an accelerator generates within the token interval
 * @param targetUtilisation the part of that which the plan fills
 * @param riseTime time constant with which the estimate of a growing demand follows
 * @param fallTime time constant with which the estimate of a shrinking demand follows
 * @param minimumGain concurrent sequences that a move must serve in addition
 * @param minimumResidence how long a copy stays before it may be evicted
 * @param largestMovesPerRound how many copies for demand one round plans
 */
public record PolicySettings(
        double sequencesPerAccelerator,
        double targetUtilisation,
        Duration riseTime,
        Duration fallTime,
        double minimumGain,
        Duration minimumResidence,
        int largestMovesPerRound) {

    /**
     * Returns the settings for engines that generate 32 sequences at once on each accelerator.
     *
     * @return the settings
     */
    public static PolicySettings standard() {
        return new PolicySettings(
                32, 0.8, Duration.ofSeconds(8), Duration.ofSeconds(120), 3, Duration.ofSeconds(90), 8);
    }
}
