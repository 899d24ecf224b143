package org.pollenhoist.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;

/** The crashes, the trial and the verdict of one suspect request. Not thread-safe: guarded by the quarantine's lock. */
final class CrashCase {

    private final Map<UpstreamLifetime, MonotonicTime> crashes = new TreeMap<>();
    private final Set<UpstreamLifetime> refuted = new HashSet<>();
    private final TrialClaim trial = new TrialClaim();
    private MonotonicTime liveUntil;
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
            trial.release();
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

    /** Returns the claim of a VM to run the trial. */
    TrialClaim trial() {
        return trial;
    }
}
