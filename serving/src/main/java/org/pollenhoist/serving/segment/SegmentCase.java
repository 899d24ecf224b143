package org.pollenhoist.serving.segment;

import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.request.TrialClaim;
import org.pollenhoist.request.UpstreamLifetime;

/** The evidence against one segment. Confined to the event loop. */
final class SegmentCase {

    /** Number of crashes from which requests with the segment run one at a time. */
    private static final int CRASHES_BEFORE_SUSPICION = 2;

    /**
     * Number of independent crashes that convicts a segment. Upstreams that are lost at the same moment count as one,
     * since no request was sent between their ends.
     */
    private static final int INDEPENDENT_CRASHES_BEFORE_VERDICT = 3;

    /** Number of crashes from which one independent crash less is sufficient. */
    private static final int CRASHES_BEFORE_EARLY_VERDICT = 5;

    /** Twice the longest delay of a statement between two VMs. */
    static final Duration SETTLING = Duration.ofMillis(200);

    private static final int MAXIMUM_CRASHES = 6;
    private static final int MAXIMUM_REFUTED = 64;

    /** Time after the last crash until a convicted segment is tried again; grows with each trial that fails. */
    private static final Duration FIRST_RETRIAL_DELAY = Duration.ofMinutes(1);

    private static final int RETRIAL_DELAY_FACTOR = 8;
    private static final int MAXIMUM_FAILED_RETRIALS = 4;

    private final Map<UpstreamLifetime, SegmentCrash> crashes = new TreeMap<>();
    private final Map<Long, MonotonicTime> refuted = new LinkedHashMap<>();
    private final TrialClaim claim = new TrialClaim();
    private MonotonicTime lastEvidenceAt;
    private boolean isShared;

    SegmentCase(MonotonicTime now) {
        lastEvidenceAt = now;
    }

    /**
     * Adds a crash unless it is known to have another cause. If there are many crashes, one that does not add to the
     * number of independent ones is ignored.
     *
     * @return whether the crash was added
     */
    boolean addCrash(SegmentCrash crash, MonotonicTime now) {
        if (refuted.containsKey(crash.lifetime().tag())) {
            return false;
        }
        if (crashes.containsKey(crash.lifetime())) {
            crashes.merge(crash.lifetime(), crash, SegmentCrash::merge);
            return false;
        }
        int independent = independentCrashes();
        crashes.put(crash.lifetime(), crash);
        if (crashes.size() > MAXIMUM_CRASHES) {
            boolean isRedundant = independentCrashes() == independent;
            crashes.remove(isRedundant ? crash.lifetime() : redundantCrash());
            if (isRedundant) {
                return false;
            }
        }
        lastEvidenceAt = now;
        return true;
    }

    /** Returns a crash without which the number of independent ones is the same, or else the first one. */
    private UpstreamLifetime redundantCrash() {
        int independent = independentCrashes();
        for (UpstreamLifetime candidate : List.copyOf(crashes.keySet())) {
            SegmentCrash removed = crashes.remove(candidate);
            boolean isRedundant = independentCrashes() == independent;
            crashes.put(candidate, removed);
            if (isRedundant) {
                return candidate;
            }
        }
        return crashes.values().stream()
                .min(Comparator.comparing(SegmentCrash::endedAt))
                .orElseThrow()
                .lifetime();
    }

    /**
     * Records that the segment did not cause the ends of certain lifetimes.
     *
     * @return whether this was not known before
     */
    boolean refute(Set<Long> lifetimeTags, MonotonicTime now) {
        boolean isNew = !refuted.keySet().containsAll(lifetimeTags);
        lifetimeTags.forEach(tag -> refuted.putIfAbsent(tag, now));
        crashes.keySet().removeIf(lifetime -> lifetimeTags.contains(lifetime.tag()));
        while (refuted.size() > MAXIMUM_REFUTED) {
            refuted.remove(refuted.keySet().iterator().next());
        }
        return isNew;
    }

    /** Records that other VMs know of crashes, from this VM or from each other. */
    void markShared() {
        isShared = true;
    }

    /** Returns whether other VMs know of crashes that have now been refuted. */
    boolean takeShared() {
        boolean wasShared = isShared;
        isShared = false;
        return wasShared;
    }

    /** Returns whether the segment is known not to have caused the end of a lifetime. */
    boolean isRefuted(UpstreamLifetime lifetime) {
        return refuted.containsKey(lifetime.tag());
    }

    /** Makes the refutation of a crash recent again, since another VM does not know of it. */
    void renewRefutation(UpstreamLifetime lifetime, MonotonicTime now) {
        refuted.remove(lifetime.tag());
        refuted.put(lifetime.tag(), now);
    }

    /** Returns the tags of lifetimes whose crashes were refuted at or after the given time. */
    Set<Long> refutedSince(MonotonicTime time) {
        return refuted.entrySet().stream()
                .filter(entry -> !entry.getValue().isBefore(time))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    Map<UpstreamLifetime, SegmentCrash> crashes() {
        return crashes;
    }

    Set<Long> crashTags() {
        return crashes.keySet().stream().map(UpstreamLifetime::tag).collect(Collectors.toUnmodifiableSet());
    }

    Set<UpstreamName> crashedUpstreams() {
        return crashes.keySet().stream().map(UpstreamLifetime::upstream).collect(Collectors.toUnmodifiableSet());
    }

    TrialClaim claim() {
        return claim;
    }

    /** Returns when this VM last learned of a crash. */
    MonotonicTime lastEvidenceAt() {
        return lastEvidenceAt;
    }

    /** Returns whether evidence of other VMs that refutes the last crash may still be under way. */
    boolean isSettling(MonotonicTime now) {
        return now.since(lastEvidenceAt).compareTo(SETTLING) < 0;
    }

    /**
     * Returns the length of the longest sequence of crashes in which each request was sent after the crash before it.
     */
    int independentCrashes() {
        List<SegmentCrash> ordered = crashes.values().stream()
                .sorted(Comparator.comparing(SegmentCrash::endedAt))
                .toList();
        int count = 0;
        Optional<MonotonicTime> previousEnd = Optional.empty();
        for (SegmentCrash crash : ordered) {
            if (previousEnd.isEmpty() || !crash.sentAt().isBefore(previousEnd.get())) {
                count++;
                previousEnd = Optional.of(crash.endedAt());
            }
        }
        return count;
    }

    boolean isSuspect() {
        return crashes.size() >= CRASHES_BEFORE_SUSPICION;
    }

    boolean isVerdict() {
        int independent = independentCrashes();
        return independent >= INDEPENDENT_CRASHES_BEFORE_VERDICT
                || (crashes.size() >= CRASHES_BEFORE_EARLY_VERDICT
                        && independent >= INDEPENDENT_CRASHES_BEFORE_VERDICT - 1);
    }

    /** Returns when a convicted segment may be tried again, in case the verdict is wrong. */
    MonotonicTime retrialAt() {
        int failed = Math.clamp(independentCrashes() - INDEPENDENT_CRASHES_BEFORE_VERDICT, 0, MAXIMUM_FAILED_RETRIALS);
        Duration delay = FIRST_RETRIAL_DELAY.multipliedBy((long) Math.pow(RETRIAL_DELAY_FACTOR, failed));
        return crashes.values().stream()
                .map(SegmentCrash::endedAt)
                .max(Comparator.naturalOrder())
                .orElseThrow()
                .plus(delay);
    }
}
