package org.pollenhoist.experiments.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.limit.TeamLimit;

/**
 * Requests that callers send, the same for every contender.
 *
 * @param limits the limits of all teams
 * @param arrivals the requests in the order of their times
 */
public record Workload(Map<TeamName, TeamLimit> limits, List<Arrival> arrivals) {

    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double LEAST_BOUND = 300;
    private static final double BOUND_SPREAD = 1200;
    private static final double LEAST_USED = 0.4;
    private static final double LEAST_REQUESTS = 1e-3;
    private static final double LONGEST_RUN_SECONDS = 10;

    /** Copies the collections. */
    public Workload {
        limits = new TreeMap<>(limits);
        arrivals = List.copyOf(arrivals);
    }

    /**
     * A request.
     *
     * @param time when it arrives, in nanoseconds since the begin of the run
     * @param vm the VM to which the balancer sends it
     * @param team the team that pays
     * @param boundTokens the most tokens that it may use
     * @param usedTokens what it uses
     * @param runNanoseconds how long it runs once admitted
     */
    public record Arrival(
            long time, int vm, TeamName team, double boundTokens, double usedTokens, long runNanoseconds) {}

    /** How a team's demand varies. */
    interface Demand {

        /** Returns the tokens per second that the team's requests use at a time in seconds. */
        double tokensPerSecond(double seconds);

        /** Chooses the VM for a request at a time in seconds. */
        int vm(double seconds, Random random);
    }

    /** Draws requests at random times for each team, in each team's own random sequence. */
    static Workload draw(
            Map<TeamName, TeamLimit> limits, Map<TeamName, Demand> demands, double begin, double end, long seed) {
        List<Arrival> arrivals = new ArrayList<>();
        double meanUsed = (LEAST_BOUND + BOUND_SPREAD / 2) * (1 + LEAST_USED) / 2;
        new TreeMap<>(demands).forEach((team, demand) -> {
            Random random = new Random(seed + team.hashCode());
            double time = begin;
            while (time < end) {
                double requestsPerSecond = Math.max(LEAST_REQUESTS, demand.tokensPerSecond(time) / meanUsed);
                double step = -Math.log(1 - random.nextDouble()) / requestsPerSecond;
                time += Math.min(1, step);
                if (step <= 1 && time < end) {
                    arrivals.add(arrival(time, demand.vm(time, random), team, random));
                }
            }
        });
        arrivals.sort(Comparator.comparingLong(Arrival::time));
        return new Workload(limits, arrivals);
    }

    private static Arrival arrival(double time, int vm, TeamName team, Random random) {
        double bound = LEAST_BOUND + BOUND_SPREAD * random.nextDouble();
        double used = bound * (LEAST_USED + (1 - LEAST_USED) * random.nextDouble());
        double run = 0.2 + LONGEST_RUN_SECONDS * random.nextDouble();
        return new Arrival(
                (long) (time * NANOSECONDS_PER_SECOND), vm, team, bound, used, (long) (run * NANOSECONDS_PER_SECOND));
    }
}
