package org.pollenhoist.serving.node;

import java.time.Duration;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.limit.FleetRateLimiter;
import org.pollenhoist.serving.peer.PeerExchange;

/** Which part of the fleet this VM hears. Confined to the event loop. */
final class FleetPresence {

    /**
     * Maximum age at which a peer's report of its admissions counts as current: one digest may be late, but none may be
     * lost.
     */
    private static final Duration MAX_CURRENT_REPORT_AGE = Duration.ofMillis(750);

    /** Same as {@link #MAX_CURRENT_REPORT_AGE}, while a team is close to its limit and digests are sent more often. */
    private static final Duration MAX_CURRENT_REPORT_AGE_NEAR_LIMIT = Duration.ofMillis(400);

    private final PeerExchange peers;
    private final DigestExchange digests;
    private final FleetRateLimiter limits;

    FleetPresence(PeerExchange peers, DigestExchange digests, FleetRateLimiter limits) {
        this.peers = peers;
        this.digests = digests;
        this.limits = limits;
    }

    /** Tells the teams' limits which part of the fleet takes part in them. */
    void updateLimits(MonotonicTime now) {
        limits.setReachableFraction(reportingFraction(PeerExchange.REPORT_TIMEOUT, now), now);
        Duration maxAge = limits.isNearLimit(now) ? MAX_CURRENT_REPORT_AGE_NEAR_LIMIT : MAX_CURRENT_REPORT_AGE;
        limits.setRecentlyReportedFraction(reportingFraction(maxAge, now), now);
    }

    private double reportingFraction(Duration within, MonotonicTime now) {
        int fleetSize = peers.peerNames().size() + 1;
        return Math.min(1.0, (double) digests.countReportingVms(within, now) / fleetSize);
    }
}
