package org.pollenhoist.request;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.common.VmName;

/** What is known of one suspect request. Not thread-safe: guarded by the quarantine's lock. */
final class CrashCase {

    private static final long NO_TRIAL = 0;

    private final Set<UpstreamName> upstreams = new TreeSet<>();
    private MonotonicTime liveUntil;
    private VmName claimant;
    private MonotonicTime claimedUntil;
    private MonotonicTime trialAllowedFrom;
    private boolean isAnnounced;
    private long runningTrial = NO_TRIAL;
    private boolean isVerdictKnown;

    /** Notes whether there is a verdict. Returns true where that is new. */
    boolean changeVerdict(boolean isVerdict) {
        boolean isNew = isVerdict != isVerdictKnown;
        isVerdictKnown = isVerdict;
        return isNew;
    }

    void addCrash(UpstreamName upstream, MonotonicTime until) {
        upstreams.add(upstream);
        prolong(until);
    }

    void prolong(MonotonicTime until) {
        if (liveUntil == null || liveUntil.isBefore(until)) {
            liveUntil = until;
        }
    }

    Set<UpstreamName> upstreams() {
        return Set.copyOf(upstreams);
    }

    boolean isLiveAt(MonotonicTime now) {
        return liveUntil != null && now.isBefore(liveUntil);
    }

    Duration remaining(MonotonicTime now) {
        return liveUntil.since(now);
    }

    Optional<VmName> claimant(MonotonicTime now) {
        return isClaimed(now) ? Optional.of(claimant) : Optional.empty();
    }

    boolean isTriedElsewhere(VmName self, MonotonicTime now) {
        return isClaimed(now) && !claimant.equals(self);
    }

    /** Claims the trial. Returns how long to wait until it may start; empty where it may start now. */
    Optional<Duration> claim(VmName self, MonotonicTime now, Duration settling, Duration lifetime) {
        if (!isClaimed(now)) {
            claimant = self;
            claimedUntil = now.plus(lifetime);
            trialAllowedFrom = now.plus(settling);
            isAnnounced = false;
        }
        return now.isBefore(trialAllowedFrom) ? Optional.of(trialAllowedFrom.since(now)) : Optional.empty();
    }

    /** Returns true once for each claim that still has to be told to the other VMs. */
    boolean takeUnannouncedClaim() {
        boolean isFirst = !isAnnounced;
        isAnnounced = true;
        return isFirst;
    }

    /** Another VM claims the trial: the lower name wins unless the trial here runs already. */
    void hearClaim(VmName other, VmName self, MonotonicTime until) {
        boolean isOwnClaim = claimant != null && claimant.equals(self);
        if (isOwnClaim && (isTrialRunning() || self.compareTo(other) < 0)) {
            return;
        }
        claimant = other;
        claimedUntil = until;
    }

    /** Starts a trial under a positive number. Returns false where one runs already. */
    boolean startTrial(long number) {
        if (isTrialRunning()) {
            return false;
        }
        runningTrial = number;
        return true;
    }

    void endTrial(long number) {
        if (runningTrial == number) {
            runningTrial = NO_TRIAL;
        }
    }

    private boolean isTrialRunning() {
        return runningTrial != NO_TRIAL;
    }

    private boolean isClaimed(MonotonicTime now) {
        return claimant != null && (isTrialRunning() || now.isBefore(claimedUntil));
    }
}
