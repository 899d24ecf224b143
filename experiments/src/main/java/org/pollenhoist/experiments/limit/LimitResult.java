package org.pollenhoist.experiments.limit;

import java.util.Map;
import java.util.TreeMap;
import org.pollenhoist.common.TeamName;

/**
 * What a run of {@link LimitExperiment} gave.
 *
 * @param scenario the scenario
 * @param seed the seed
 * @param requests requests that were decided
 * @param refused requests that were refused
 * @param wrongful refused requests that a central counter would have admitted after the same admissions
 * @param wrongfulByReason the wrongful refusals by the reason that was given
 * @param centralRefused requests that a central counter with perfect knowledge refused, over the same workload
 * @param equalSplitRefused requests that fixed equal parts refused, over the same workload
 * @param equalSplitWrongful wrongful ones among them
 * @param largestExcess by how much the worst interval of the worst team exceeded burst and rate, as a part of the
 *     burst; negative where none did
 * @param messagesPerVmSecond messages about shares that a VM sent in a second
 * @param bytesPerVmSecond bytes of these messages
 * @param platformCallsPerSecond calls to the platform of the whole fleet in a second
 * @param usedTokens what each team got, in tokens
 */
public record LimitResult(
        LimitExperiment.Scenario scenario,
        long seed,
        long requests,
        long refused,
        long wrongful,
        Map<String, Long> wrongfulByReason,
        long centralRefused,
        long equalSplitRefused,
        long equalSplitWrongful,
        double largestExcess,
        double messagesPerVmSecond,
        double bytesPerVmSecond,
        double platformCallsPerSecond,
        Map<TeamName, Double> usedTokens) {

    /** Copies the maps. */
    public LimitResult {
        wrongfulByReason = new TreeMap<>(wrongfulByReason);
        usedTokens = new TreeMap<>(usedTokens);
    }

    /**
     * Returns the part of all requests that was refused wrongly.
     *
     * @return 0 to 1
     */
    public double wrongfulPart() {
        return requests == 0 ? 0 : (double) wrongful / requests;
    }

    /**
     * Returns the part of all requests that fixed equal parts would refuse wrongly.
     *
     * @return 0 to 1
     */
    public double equalSplitWrongfulPart() {
        return requests == 0 ? 0 : (double) equalSplitWrongful / requests;
    }
}
