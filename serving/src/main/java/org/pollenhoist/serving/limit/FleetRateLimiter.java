package org.pollenhoist.serving.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.catalog.Team;

/** The rates of all teams over the whole fleet, as one VM sees them. Confined to the event loop. */
public final class FleetRateLimiter {

    /**
     * What a team has admitted here, for the peers.
     *
     * @param team the team
     * @param admitted tokens admitted since the start of this process
     * @param level what is believed to be left of the burst
     */
    public record Spending(String team, long admitted, long level) {}

    private static final DecisionLog LOG = DecisionLog.of("limit");

    private final double startingPart;
    private final IntSupplier fleetSize;
    private final Runnable onUrgentReport;
    private final Map<String, FleetTokenBucket> buckets = new HashMap<>();
    private final Set<String> peersHeard = new HashSet<>();
    private double reachablePart = 1;
    private double currentPart = 1;

    /**
     * Creates limits without teams.
     *
     * @param isFirstStart true where the whole fleet starts for the first time, so that no burst was spent before; else
     *     the buckets start empty, since a restart must not refill a burst
     * @param fleetSize how many VMs the fleet has, this one included
     * @param onUrgentReport is told when peers should learn at once what was admitted here
     */
    public FleetRateLimiter(boolean isFirstStart, IntSupplier fleetSize, Runnable onUrgentReport) {
        this.startingPart = isFirstStart ? 1 : 0;
        this.fleetSize = fleetSize;
        this.onUrgentReport = onUrgentReport;
    }

    /**
     * Takes the teams of a configuration over.
     *
     * @param teams the teams
     * @param now the present time
     */
    public void configure(List<Team> teams, MonotonicTime now) {
        Set<String> limited = new HashSet<>();
        for (Team team : teams) {
            if (!team.isLimited()) {
                continue;
            }
            limited.add(team.name());
            FleetTokenBucket bucket = buckets.get(team.name());
            if (bucket == null) {
                bucket = new FleetTokenBucket(team.ratePerSecond(), team.burst(), startingPart, now);
                bucket.setReachableFraction(reachablePart, now);
                bucket.setRecentlyReportedFraction(currentPart, now);
                buckets.put(team.name(), bucket);
            } else {
                bucket.change(team.ratePerSecond(), team.burst(), now);
            }
        }
        buckets.keySet().retainAll(limited);
    }

    /**
     * Sets which part of the fleet is heard, this VM included.
     *
     * @param part more than 0, at most 1
     * @param now the present time
     */
    public void setReachableFraction(double part, MonotonicTime now) {
        reachablePart = part;
        buckets.values().forEach(bucket -> bucket.setReachableFraction(part, now));
    }

    /**
     * Sets which part of the fleet has reported within the last moments, this VM included.
     *
     * @param part more than 0, at most 1
     * @param now the present time
     */
    public void setRecentlyReportedFraction(double part, MonotonicTime now) {
        currentPart = part;
        buckets.values().forEach(bucket -> bucket.setRecentlyReportedFraction(part, now));
    }

    /**
     * Takes tokens of a team.
     *
     * @param team the team
     * @param tokens the tokens
     * @param now the present time
     * @return empty where they were taken; else how long the team has to wait for them
     */
    public Duration tryTake(Team team, long tokens, MonotonicTime now) {
        FleetTokenBucket bucket = buckets.get(team.name());
        if (bucket == null) {
            return Duration.ZERO;
        }
        if (bucket.tryTake(tokens, now)) {
            if (bucket.isReportUrgent(fleetSize.getAsInt(), now)) {
                onUrgentReport.run();
            }
            return Duration.ZERO;
        }
        LOG.event(
                "limit_reached",
                "team",
                team.name(),
                "tokens",
                tokens,
                "level",
                Math.round(bucket.level(now)),
                "rate",
                team.ratePerSecond(),
                "burst",
                team.burst(),
                "reachable_part",
                reachablePart);
        return bucket.timeUntil(tokens, now);
    }

    /**
     * Gives tokens of a request back that never reached an upstream.
     *
     * @param team the team
     * @param tokens the tokens
     * @param now the present time
     */
    public void refund(Team team, long tokens, MonotonicTime now) {
        FleetTokenBucket bucket = buckets.get(team.name());
        if (bucket != null) {
            bucket.refund(tokens, now);
        }
    }

    /**
     * Takes a peer's report in.
     *
     * @param peer the peer's name
     * @param incarnation the peer's incarnation
     * @param report what it admitted
     * @param now the present time
     */
    public void applyPeerReport(String peer, long incarnation, List<Spending> report, MonotonicTime now) {
        boolean isFirstReport = peersHeard.isEmpty();
        peersHeard.add(peer);
        for (Spending spending : report) {
            FleetTokenBucket bucket = buckets.get(spending.team());
            if (bucket == null) {
                continue;
            }
            bucket.applyPeerTotal(peer, incarnation, spending.admitted(), now);
            if (isFirstReport && startingPart == 0) {
                bucket.adoptLevel((double) spending.level(), now);
            }
        }
    }

    /**
     * Takes the report of another failure domain in.
     *
     * @param domain the failure domain
     * @param teller the incarnation of the VM that speaks for it
     * @param report what its VMs admitted together
     * @param now the present time
     */
    public void applyDomainReport(String domain, long teller, List<Spending> report, MonotonicTime now) {
        for (Spending spending : report) {
            FleetTokenBucket bucket = buckets.get(spending.team());
            if (bucket != null) {
                bucket.applyDomainTotal(domain, teller, spending.admitted(), now);
            }
        }
    }

    /**
     * Returns what this VM and the peers that report to it one by one admitted together.
     *
     * @param now the present time
     * @return one entry for each limited team
     */
    public List<Spending> domainReport(MonotonicTime now) {
        List<Spending> report = new ArrayList<>();
        buckets.forEach((team, bucket) ->
                report.add(new Spending(team, bucket.admittedInDomain(), Math.round(bucket.level(now)))));
        return report;
    }

    /**
     * Returns this VM's report.
     *
     * @param now the present time
     * @return one entry for each limited team
     */
    public List<Spending> report(MonotonicTime now) {
        List<Spending> report = new ArrayList<>();
        buckets.forEach(
                (team, bucket) -> report.add(new Spending(team, bucket.admitted(), Math.round(bucket.level(now)))));
        return report;
    }

    /**
     * Tells whether any team presses on its limit, so that peers' reports have to be recent.
     *
     * @param now the present time
     * @return true where a team has used up a good part of its burst
     */
    public boolean isNearLimit(MonotonicTime now) {
        return buckets.values().stream().anyMatch(bucket -> bucket.isNearLimit(now));
    }

    /** Notes that all peers are sent a report now. */
    public void markReported() {
        buckets.values().forEach(FleetTokenBucket::markReported);
    }
}
