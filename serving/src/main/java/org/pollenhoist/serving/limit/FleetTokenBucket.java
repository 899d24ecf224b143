package org.pollenhoist.serving.limit;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.pollenhoist.common.MonotonicTime;

/**
 * The view that one VM has of a team's fleet-wide token bucket. The bucket is refilled at the team's rate; tokens that
 * this VM and its peers admit are taken out of it. Peers report running totals, so that a lost report only delays the
 * accounting of their tokens.
 *
 * <p>A VM that receives reports from only a fraction of the fleet uses only that fraction of the rate and the burst,
 * since the VMs that it can't reach may be admitting requests as well. Confined to the event loop.
 */
final class FleetTokenBucket {

    /** Fraction of the level that all VMs together may admit before they have to report it to each other. */
    private static final double UNREPORTED_FRACTION = 0.5;

    /** A team is near its limit while the level is below this fraction of the capacity. */
    private static final double NEAR_LIMIT_FRACTION = 0.5;

    private record PeerTotal(long incarnation, long admitted) {}

    private final Map<String, PeerTotal> totalsByPeer = new HashMap<>();
    private final Map<String, DomainSpendingCounter> totalsByDomain = new HashMap<>();
    private double ratePerSecond;
    private double burst;
    private double reachableFraction = 1;
    private double recentlyReportedFraction = 1;
    private double level;
    private long admitted;
    private long admittedByPeers;
    private long reported;
    private MonotonicTime filledAt;

    FleetTokenBucket(double ratePerSecond, double burst, double startingFraction, MonotonicTime now) {
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.level = burst * startingFraction;
        this.filledAt = now;
    }

    void reconfigure(double newRatePerSecond, double newBurst, MonotonicTime now) {
        fill(now);
        ratePerSecond = newRatePerSecond;
        burst = newBurst;
        level = Math.min(level, capacity());
    }

    void setReachableFraction(double fraction, MonotonicTime now) {
        if (fraction == reachableFraction) {
            return;
        }
        fill(now);
        if (fraction < reachableFraction && level > 0) {
            level *= fraction / reachableFraction;
        }
        reachableFraction = fraction;
    }

    /**
     * Sets the fraction of the fleet that has reported recently. The bucket is refilled only at that fraction of the
     * rate, since it is not known yet what the other VMs have admitted.
     */
    void setRecentlyReportedFraction(double fraction, MonotonicTime now) {
        if (fraction != recentlyReportedFraction) {
            fill(now);
            recentlyReportedFraction = fraction;
        }
    }

    /** Takes tokens out if there are enough; a request larger than the capacity is admitted when the bucket is full. */
    boolean tryTake(long tokens, MonotonicTime now) {
        fill(now);
        if (level < Math.min((double) tokens, capacity())) {
            return false;
        }
        level -= tokens;
        admitted += tokens;
        return true;
    }

    void refund(long tokens, MonotonicTime now) {
        fill(now);
        level = Math.min(level + tokens, capacity());
        admitted -= tokens;
    }

    Duration timeUntil(long tokens, MonotonicTime now) {
        fill(now);
        double missing = Math.min((double) tokens, capacity()) - level;
        return missing <= 0 ? Duration.ZERO : Duration.ofMillis((long) Math.ceil(missing * 1_000 / fillRate()));
    }

    void applyPeerTotal(String peer, long incarnation, long peerAdmitted, MonotonicTime now) {
        fill(now);
        PeerTotal known = totalsByPeer.put(peer, new PeerTotal(incarnation, peerAdmitted));
        // Most of what a peer spent before its first report lies in the past and has been refilled since.
        if (known != null) {
            long spent = known.incarnation == incarnation ? peerAdmitted - known.admitted : peerAdmitted;
            admittedByPeers += spent;
            takeOut(spent);
        }
    }

    /** Applies the total of another failure domain, as reported by one of its VMs. */
    void applyDomainTotal(String domain, long reporter, long total, MonotonicTime now) {
        fill(now);
        takeOut(totalsByDomain
                .computeIfAbsent(domain, ignored -> new DomainSpendingCounter())
                .add(reporter, total));
    }

    private void takeOut(long spent) {
        level = Math.max(-burst, Math.min(level - spent, capacity()));
    }

    /** Returns the tokens that this VM and the peers that report to it individually have admitted. */
    long admittedInDomain() {
        return admitted + admittedByPeers;
    }

    /** Adopts the level of a peer that has received more of the fleet's reports than this process. */
    void adoptLevel(double peerLevel, MonotonicTime now) {
        fill(now);
        level = Math.min(peerLevel, capacity());
    }

    long admitted() {
        return admitted;
    }

    /** Records that all tokens admitted so far are reported to the peers. */
    void markReported() {
        reported = admitted;
    }

    /**
     * Whether the tokens admitted here have to be reported to the peers at once: if every VM had admitted as many
     * unreported tokens, a considerable fraction of the remaining level would already be spent.
     */
    boolean isReportUrgent(int fleetSize, MonotonicTime now) {
        long unreported = admitted - reported;
        return unreported > 0 && unreported * fleetSize > Math.max(0, level(now)) * UNREPORTED_FRACTION;
    }

    double level(MonotonicTime now) {
        fill(now);
        return level;
    }

    /** Whether the level is so low that tokens which peers have admitted but not yet reported matter. */
    boolean isNearLimit(MonotonicTime now) {
        return level(now) < capacity() * NEAR_LIMIT_FRACTION;
    }

    private double capacity() {
        return burst * reachableFraction;
    }

    private double fillRate() {
        return ratePerSecond * Math.min(reachableFraction, recentlyReportedFraction);
    }

    private void fill(MonotonicTime now) {
        double seconds = now.secondsSince(filledAt);
        if (seconds > 0) {
            level = Math.min(capacity(), level + fillRate() * seconds);
            filledAt = now;
        }
    }
}
