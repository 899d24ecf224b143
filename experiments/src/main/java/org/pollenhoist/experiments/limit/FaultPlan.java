package org.pollenhoist.experiments.limit;

import java.time.Duration;

/**
 * What fails in a run.
 *
 * @param lostMessages part of messages between VMs that are lost
 * @param doubledMessages part of messages that arrive twice
 * @param lateMessages part of messages that arrive up to two minutes late
 * @param lostAnswers part of the platform's writes whose answer is lost, before or after the write took effect
 * @param staleReads part of the platform's reads that are answered from before
 * @param betweenKills mean time between kills of a VM, zero for none; its successor listens at the same address in
 *     half of the cases
 * @param betweenPauses mean time between pauses of a VM, zero for none
 * @param longestPause the longest pause
 * @param betweenCuts mean time between cuts of a failure domain from the others and the platform, zero for none
 * @param betweenOutages mean time between outages of the platform, zero for none
 */
public record FaultPlan(
        double lostMessages,
        double doubledMessages,
        double lateMessages,
        double lostAnswers,
        double staleReads,
        Duration betweenKills,
        Duration betweenPauses,
        Duration longestPause,
        Duration betweenCuts,
        Duration betweenOutages) {

    /**
     * Returns a plan in which nothing fails.
     *
     * @return the plan
     */
    public static FaultPlan none() {
        Duration none = Duration.ZERO;
        return new FaultPlan(0, 0, 0, 0, 0, none, none, none, none, none);
    }

    /**
     * Returns a plan in which everything fails often.
     *
     * @return the plan
     */
    public static FaultPlan everything() {
        return new FaultPlan(
                0.02,
                0.05,
                0.02,
                0.05,
                0.05,
                Duration.ofSeconds(40),
                Duration.ofSeconds(50),
                Duration.ofSeconds(150),
                Duration.ofSeconds(150),
                Duration.ofSeconds(200));
    }
}
