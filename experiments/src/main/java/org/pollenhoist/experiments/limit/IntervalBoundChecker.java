package org.pollenhoist.experiments.limit;

import java.util.List;
import org.pollenhoist.limit.TeamLimit;

/** Checks a history of admissions against a limit over every interval. */
public final class IntervalBoundChecker {

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private IntervalBoundChecker() {}

    /**
     * Tokens that a request used, or its bound while it runs.
     *
     * @param time when it was admitted, in nanoseconds since the begin of the run
     * @param tokens the tokens
     */
    public record Admitted(long time, double tokens) {}

    /**
     * Returns by how much the worst interval exceeds burst and rate. The backlog of a queue that drains at the rate is
     * the largest excess over the rate of all intervals that end at the present admission, so one pass covers all.
     *
     * @param history the admissions in the order of their times
     * @param limit the limit
     * @return tokens, negative where every interval is within the limit
     */
    public static double largestExcess(List<Admitted> history, TeamLimit limit) {
        double backlog = 0;
        double largest = 0;
        long last = 0;
        for (Admitted admitted : history) {
            double drained = limit.tokensPerSecond() * ((admitted.time() - last) / NANOSECONDS_PER_SECOND);
            backlog = Math.max(0, backlog - drained) + admitted.tokens();
            last = admitted.time();
            largest = Math.max(largest, backlog);
        }
        return largest - limit.burstTokens();
    }
}
