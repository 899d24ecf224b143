package org.pollenhoist.serving.limit;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.pollenhoist.common.MonotonicTime;

/**
 * One team's token bucket for the whole fleet, as one VM sees it: it fills at the team's rate, and what this VM and its
 * peers admit is taken out of it. Peers report totals, so a lost report delays their spending and does not lose it.
 *
 * <p>A VM that hears only a part of the fleet uses only that part of rate and burst, since those it does not hear may
 * be admitting requests as well. Confined to the event loop.
 */
final class FleetTokenBucket {

    /** Part of a bucket's level that all VMs together may admit before they have heard of each other's admissions. */
    private static final double UNSEEN_PART = 0.5;

    /** Part of a bucket's capacity below which its team presses on its limit. */
    private static final double PRESSED_PART = 0.5;

    private record PeerTotal(long incarnation, long admitted) {}

    private final Map<String, PeerTotal> totalsByPeer = new HashMap<>();
    private final Map<String, DomainSpendingCounter> totalsByDomain = new HashMap<>();
    private double ratePerSecond;
    private double burst;
    private double reachablePart = 1;
    private double currentPart = 1;
    private double level;
    private long admitted;
    private long admittedByPeers;
    private long reported;
    private MonotonicTime filledAt;

    FleetTokenBucket(double ratePerSecond, double burst, double startingPart, MonotonicTime now) {
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.level = burst * startingPart;
        this.filledAt = now;
    }

    void change(double newRatePerSecond, double newBurst, MonotonicTime now) {
        fill(now);
        ratePerSecond = newRatePerSecond;
        burst = newBurst;
        level = Math.min(level, capacity());
    }

    void setReachableFraction(double part, MonotonicTime now) {
        if (part == reachablePart) {
            return;
        }
        fill(now);
        if (part < reachablePart && level > 0) {
            level *= part / reachablePart;
        }
        reachablePart = part;
    }

    /**
     * Sets which part of the fleet has reported lately. The bucket fills at that part of the rate only: what the others
     * admit is not known yet.
     */
    void setRecentlyReportedFraction(double part, MonotonicTime now) {
        if (part != currentPart) {
            fill(now);
            currentPart = part;
        }
    }

    /** Takes tokens out; a request that is larger than the bucket passes once the bucket is full. */
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
        // What a peer spent before it was first heard lies mostly in the past and is already refilled.
        if (known != null) {
            long spent = known.incarnation == incarnation ? peerAdmitted - known.admitted : peerAdmitted;
            admittedByPeers += spent;
            takeOut(spent);
        }
    }

    /** Takes the total of another failure domain in, as one of its VMs tells it. */
    void applyDomainTotal(String domain, long teller, long total, MonotonicTime now) {
        fill(now);
        takeOut(totalsByDomain
                .computeIfAbsent(domain, ignored -> new DomainSpendingCounter())
                .add(teller, total));
    }

    private void takeOut(long spent) {
        level = Math.max(-burst, Math.min(level - spent, capacity()));
    }

    /** What this VM and the peers that report to it one by one have admitted. */
    long admittedInDomain() {
        return admitted + admittedByPeers;
    }

    /** Takes over the level of a peer that has seen more of the fleet's spending than this process. */
    void adoptLevel(double peerLevel, MonotonicTime now) {
        fill(now);
        level = Math.min(peerLevel, capacity());
    }

    long admitted() {
        return admitted;
    }

    /** Notes that the peers are told what was admitted so far. */
    void markReported() {
        reported = admitted;
    }

    /**
     * Whether peers have to be told at once what was admitted here: if all VMs had admitted as much unseen, a good part
     * of what is left would be gone already.
     */
    boolean isReportUrgent(int fleetSize, MonotonicTime now) {
        long unseen = admitted - reported;
        return unseen > 0 && unseen * fleetSize > Math.max(0, level(now)) * UNSEEN_PART;
    }

    double level(MonotonicTime now) {
        fill(now);
        return level;
    }

    /** Whether so much of the burst is used up that what peers admit unseen matters. */
    boolean isNearLimit(MonotonicTime now) {
        return level(now) < capacity() * PRESSED_PART;
    }

    private double capacity() {
        return burst * reachablePart;
    }

    private double fillRate() {
        return ratePerSecond * Math.min(reachablePart, currentPart);
    }

    private void fill(MonotonicTime now) {
        double seconds = now.secondsSince(filledAt);
        if (seconds > 0) {
            level = Math.min(capacity(), level + fillRate() * seconds);
            filledAt = now;
        }
    }
}
