package org.pollenhoist.experiments.placement;

import java.time.Duration;

/**
 * What one run of the placement experiment has measured. All strategies met the same requests on the same replicas.
 *
 * @param deployment the deployment's name
 * @param seed the seed
 * @param length simulated time
 * @param utilisation mean demand as a part of what all replicas can serve
 * @param accelerators the accelerators
 * @param pollenhoist the product
 * @param fixed the static placement sized by mean demand
 * @param onDemand load on demand with least-recently-used eviction
 * @param perfectKnowledge the product's planner with the demand of the next minute known
 */
public record PlacementResult(
        String deployment,
        long seed,
        Duration length,
        double utilisation,
        int accelerators,
        StrategyOutcome pollenhoist,
        StrategyOutcome fixed,
        StrategyOutcome onDemand,
        StrategyOutcome perfectKnowledge) {

    /**
     * Returns the product's attainment as a multiple of the better baseline's.
     *
     * @return the ratio; the accelerators are the same, so that it is the ratio per accelerator too
     */
    public double gainOverBetterBaseline() {
        return pollenhoist.attainment() / Math.max(fixed.attainment(), onDemand.attainment());
    }

    /**
     * Returns the product's attainment as a part of that with perfect knowledge.
     *
     * @return the ratio
     */
    public double partOfPerfectKnowledge() {
        return pollenhoist.attainment() / perfectKnowledge.attainment();
    }

    /**
     * Returns the result in one line.
     *
     * @return key=value pairs
     */
    public String line() {
        return "event=placement_measured deployment=" + deployment + " seed=" + seed + " seconds="
                + length.toSeconds() + " utilisation=" + utilisation + " accelerators=" + accelerators
                + text("pollenhoist", pollenhoist) + text("static", fixed) + text("on_demand", onDemand)
                + text("perfect", perfectKnowledge)
                + String.format(
                        java.util.Locale.ROOT,
                        " gain=%.3f of_perfect=%.3f",
                        gainOverBetterBaseline(),
                        partOfPerfectKnowledge());
    }

    private static String text(String name, StrategyOutcome outcome) {
        return String.format(
                java.util.Locale.ROOT,
                " %s=%.4f %s_moves=%d %s_worst_team=%.4f %s_unreachable_seconds=%d",
                name,
                outcome.attainment(),
                name,
                outcome.moves(),
                name,
                outcome.worstTeamAttainment(),
                name,
                outcome.unreachableSeconds());
    }
}
