package org.pollenhoist.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.common.VmName;

/** The crashes, the trial and the verdict of one suspect request. Not thread-safe: guarded by the quarantine's lock. */
final class CrashCase {

    private static final long NO_TRIAL = 0;

    private final Map<UpstreamLifetime, MonotonicTime> crashes = new TreeMap<>();
    private final Set<UpstreamLifetime> refuted = new HashSet<>();
    private MonotonicTime liveUntil;
    private VmName claimant;
    private MonotonicTime claimedUntil;
    private MonotonicTime trialAllowedFrom;
    private boolean isAnnounced;
    private long runningTrial = NO_TRIAL;
    private boolean isVerdict;

    void addCrash(UpstreamLifetime lifetime, MonotonicTime now, MonotonicTime until) {
        if (!refuted.contains(lifetime)) {
            crashes.putIfAbsent(lifetime, now);
            prolong(until);
        }
    }

    /**
     * Removes crashes that did not happen or were not caused by this request, and ignores them from now on. If no crash
     * is left, the case expires at the given time.
     */
    void refute(Set<UpstreamLifetime> lifetimes, MonotonicTime expiresAt) {
        crashes.keySet().removeAll(lifetimes);
        refuted.addAll(lifetimes);
        if (crashes.isEmpty()) {
            liveUntil = expiresAt;
            claimant = null;
        }
    }

    void prolong(MonotonicTime until) {
        if (liveUntil == null || liveUntil.isBefore(until)) {
            liveUntil = until;
        }
    }

    Set<UpstreamLifetime> crashes() {
        return Set.copyOf(crashes.keySet());
    }

    /** Returns the crashes that were recorded at or before the given time and satisfy the condition. */
    Set<UpstreamLifetime> crashesBefore(MonotonicTime time, Predicate<UpstreamLifetime> condition) {
        return crashes.entrySet().stream()
                .filter(crash -> !time.isBefore(crash.getValue()))
                .map(Map.Entry::getKey)
                .filter(condition)
                .collect(Collectors.toUnmodifiableSet());
    }

    Set<UpstreamName> upstreams() {
        return crashes.keySet().stream().map(UpstreamLifetime::upstream).collect(Collectors.toUnmodifiableSet());
    }

    boolean isVerdict() {
        return isVerdict;
    }

    void setVerdict(boolean verdict) {
        isVerdict = verdict;
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

    boolean isClaimedByOther(VmName self, MonotonicTime now) {
        return isClaimed(now) && !claimant.equals(self);
    }

    /** Claims the trial for this VM. Returns the time to wait before it may start, or empty if it may start now. */
    Optional<Duration> claim(VmName self, MonotonicTime now, Duration settling, Duration lifetime) {
        if (!isClaimed(now)) {
            claimant = self;
            claimedUntil = now.plus(lifetime);
            trialAllowedFrom = now.plus(settling);
            isAnnounced = false;
        }
        return now.isBefore(trialAllowedFrom) ? Optional.of(trialAllowedFrom.since(now)) : Optional.empty();
    }

    /** Returns true if the claim has not been announced to the other VMs yet, and marks it as announced. */
    boolean takeUnannouncedClaim() {
        boolean isFirst = !isAnnounced;
        isAnnounced = true;
        return isFirst;
    }

    /** Applies a claim of another VM. The VM with the lower name wins, unless the trial is already running here. */
    void receiveClaim(VmName other, VmName self, MonotonicTime until) {
        boolean isOwnClaim = claimant != null && claimant.equals(self);
        if (isOwnClaim && (isTrialRunning() || self.compareTo(other) < 0)) {
            return;
        }
        claimant = other;
        claimedUntil = until;
    }

    /** Starts a trial with the given positive number. Returns false if a trial is already running. */
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
