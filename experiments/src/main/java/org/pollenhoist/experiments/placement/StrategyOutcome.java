package org.pollenhoist.experiments.placement;

import java.util.Map;
import java.util.TreeMap;

/**
 * What one strategy came to in one run.
 *
 * @param requests all requests
 * @param attained requests whose first token came in time
 * @param moves model loads
 * @param worstTeamAttainment the share of the worst-served team's requests that were attained
 * @param unreachableSeconds seconds for which a model had no copy that answers, added over all models
 */
public record StrategyOutcome(
        int requests, int attained, int moves, double worstTeamAttainment, int unreachableSeconds) {

    /**
     * Returns the share of requests that were attained.
     *
     * @return 0 to 1
     */
    public double attainment() {
        return requests == 0 ? 1 : (double) attained / requests;
    }

    /** Counts while a run goes on. */
    static final class Counter {

        private final Map<Integer, int[]> attainedAndAll = new TreeMap<>();
        private int moves;
        private int unreachableSeconds;

        void unreachable() {
            unreachableSeconds++;
        }

        void attained(int team) {
            counts(team)[0]++;
            counts(team)[1]++;
        }

        void missed(int team) {
            counts(team)[1]++;
        }

        void move() {
            moves++;
        }

        private int[] counts(int team) {
            return attainedAndAll.computeIfAbsent(team, name -> new int[2]);
        }

        StrategyOutcome outcome() {
            int attained = 0;
            int all = 0;
            double worst = 1;
            for (int[] counts : attainedAndAll.values()) {
                attained += counts[0];
                all += counts[1];
                worst = Math.min(worst, (double) counts[0] / counts[1]);
            }
            return new StrategyOutcome(all, attained, moves, worst, unreachableSeconds);
        }
    }
}
