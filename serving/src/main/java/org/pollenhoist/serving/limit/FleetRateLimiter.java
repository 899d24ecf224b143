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

/** Enforces the fleet-wide rate limits of all teams on one VM. Confined to the event loop. */
public final class FleetRateLimiter {

    /**
     * The tokens of a team that were admitted, as reported to other VMs.
     *
     * @param team the team
     * @param admitted tokens admitted since the start of the reporting process
     * @param level estimated number of tokens left in the bucket
     */
    public record Spending(String team, long admitted, long level) {}

    private static final DecisionLog LOG = DecisionLog.of("limit");

    private final double startingFraction;
    private final IntSupplier fleetSize;
    private final Runnable onUrgentReport;
    private final Map<String, FleetTokenBucket> buckets = new HashMap<>();
    private final Set<String> reportingPeers = new HashSet<>();
    private double reachableFraction = 1;
    private double recentlyReportedFraction = 1;

    /**
     * Creates a rate limiter without teams.
     *
     * @param isFirstStart true if the whole fleet starts for the first time, so that no burst has been spent before;
     *     otherwise the buckets start empty, since a restart must not refill a burst
     * @param fleetSize the number of VMs in the fleet, including this one
     * @param onUrgentReport called when the tokens admitted here should be reported to the peers at once
     */
    public FleetRateLimiter(boolean isFirstStart, IntSupplier fleetSize, Runnable onUrgentReport) {
        this.startingFraction = isFirstStart ? 1 : 0;
        this.fleetSize = fleetSize;
        this.onUrgentReport = onUrgentReport;
    }

    /**
     * Applies the limits of the configured teams. Buckets of teams that are no longer limited are removed.
     *
     * @param teams the teams
     * @param now the current time
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
                bucket = new FleetTokenBucket(team.ratePerSecond(), team.burst(), startingFraction, now);
                bucket.setReachableFraction(reachableFraction, now);
                bucket.setRecentlyReportedFraction(recentlyReportedFraction, now);
                buckets.put(team.name(), bucket);
            } else {
                bucket.reconfigure(team.ratePerSecond(), team.burst(), now);
            }
        }
        buckets.keySet().retainAll(limited);
    }

    /**
     * Sets the fraction of the fleet from which this VM receives reports, including itself.
     *
     * @param fraction more than 0, at most 1
     * @param now the current time
     */
    public void setReachableFraction(double fraction, MonotonicTime now) {
        reachableFraction = fraction;
        buckets.values().forEach(bucket -> bucket.setReachableFraction(fraction, now));
    }

    /**
     * Sets the fraction of the fleet that has reported recently, including this VM.
     *
     * @param fraction more than 0, at most 1
     * @param now the current time
     */
    public void setRecentlyReportedFraction(double fraction, MonotonicTime now) {
        recentlyReportedFraction = fraction;
        buckets.values().forEach(bucket -> bucket.setRecentlyReportedFraction(fraction, now));
    }

    /**
     * Takes tokens out of a team's bucket.
     *
     * @param team the team
     * @param tokens the number of tokens
     * @param now the current time
     * @return zero if the tokens were taken; otherwise how long the team has to wait for them
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
                reachableFraction);
        return bucket.timeUntil(tokens, now);
    }

    /**
     * Returns the tokens of a request that never reached an upstream to the team's bucket.
     *
     * @param team the team
     * @param tokens the number of tokens
     * @param now the current time
     */
    public void refund(Team team, long tokens, MonotonicTime now) {
        FleetTokenBucket bucket = buckets.get(team.name());
        if (bucket != null) {
            bucket.refund(tokens, now);
        }
    }

    /**
     * Applies the report of a peer.
     *
     * @param peer the peer's name
     * @param incarnation the peer's incarnation
     * @param report the tokens that it admitted, by team
     * @param now the current time
     */
    public void applyPeerReport(String peer, long incarnation, List<Spending> report, MonotonicTime now) {
        boolean isFirstReport = reportingPeers.isEmpty();
        reportingPeers.add(peer);
        for (Spending spending : report) {
            FleetTokenBucket bucket = buckets.get(spending.team());
            if (bucket == null) {
                continue;
            }
            bucket.applyPeerTotal(peer, incarnation, spending.admitted(), now);
            if (isFirstReport && startingFraction == 0) {
                bucket.adoptLevel((double) spending.level(), now);
            }
        }
    }

    /**
     * Applies the report of another failure domain.
     *
     * @param domain the failure domain
     * @param reporter the incarnation of the VM that represents it
     * @param report the tokens that all its VMs together admitted, by team
     * @param now the current time
     */
    public void applyDomainReport(String domain, long reporter, List<Spending> report, MonotonicTime now) {
        for (Spending spending : report) {
            FleetTokenBucket bucket = buckets.get(spending.team());
            if (bucket != null) {
                bucket.applyDomainTotal(domain, reporter, spending.admitted(), now);
            }
        }
    }

    /**
     * Returns the total that this VM and the peers that report to it individually have admitted.
     *
     * @param now the current time
     * @return one entry for each limited team
     */
    public List<Spending> domainReport(MonotonicTime now) {
        List<Spending> report = new ArrayList<>();
        buckets.forEach((team, bucket) ->
                report.add(new Spending(team, bucket.admittedInDomain(), Math.round(bucket.level(now)))));
        return report;
    }

    /**
     * Returns the report of this VM.
     *
     * @param now the current time
     * @return one entry for each limited team
     */
    public List<Spending> report(MonotonicTime now) {
        List<Spending> report = new ArrayList<>();
        buckets.forEach(
                (team, bucket) -> report.add(new Spending(team, bucket.admitted(), Math.round(bucket.level(now)))));
        return report;
    }

    /**
     * Returns whether any team is near its limit, so that the reports of peers have to be recent.
     *
     * @param now the current time
     * @return true if the bucket of at least one team is running low
     */
    public boolean isNearLimit(MonotonicTime now) {
        return buckets.values().stream().anyMatch(bucket -> bucket.isNearLimit(now));
    }

    /** Records that all tokens admitted so far are reported to all peers. */
    public void markReported() {
        buckets.values().forEach(FleetTokenBucket::markReported);
    }
}
