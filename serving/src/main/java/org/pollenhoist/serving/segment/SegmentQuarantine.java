package org.pollenhoist.serving.segment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.common.VmName;
import org.pollenhoist.request.UpstreamLifetime;
import org.pollenhoist.routing.Rendezvous;

/**
 * Detects prompt segments that crash every upstream which begins to answer a request with them, and stops such requests
 * from running. Answers the load in which no two requests are alike, so that repeats of one request prove nothing.
 *
 * <p>A crash is evidence against the segments of the requests that the upstream had not begun to answer. An answer that
 * begins refutes the crashes known until then, which clears segments that many requests share within a moment. From the
 * second crash on, the whole fleet runs requests with a segment one at a time. After three crashes, each under a
 * request that was sent after the crash before, the segment is convicted and requests with it are refused.
 *
 * <p>The evidence is exchanged as statements of state, which VMs merge; every VM derives the verdict from it by itself.
 * Confined to the event loop.
 */
public final class SegmentQuarantine {

    private static final DecisionLog LOG = DecisionLog.of("request");

    private static final int MAXIMUM_CASES = 4_096;

    /** Maximum number of changed cases in one digest; the most recently changed ones go first. */
    private static final int MAXIMUM_NEWS = 48;

    /** Interval at which this VM repeats one suspect segment, in rotation, for VMs that start or reconnect. */
    private static final Duration REPEAT_INTERVAL = Duration.ofSeconds(1);

    /** How long a change is included in every digest, since single datagrams may be lost. */
    private static final Duration NEWS_DURATION = Duration.ofMillis(800);

    /**
     * Shortest and longest delay before a crash is announced. Within it, answers that begin here clear many of the
     * segments that were part of the crash, and other VMs announce the rest.
     */
    private static final Duration MINIMUM_ANNOUNCEMENT_DELAY = Duration.ofMillis(30);

    private static final Duration MAXIMUM_ANNOUNCEMENT_DELAY = Duration.ofMillis(200);

    /** How long evidence counts that does not suffice for a verdict. */
    private static final Duration EVIDENCE_LIFETIME = Duration.ofMinutes(10);

    private static final Duration VERDICT_LIFETIME = Duration.ofHours(24);

    /** Longest time for which a VM waits for another one's claim before it claims a trial itself. */
    private static final Duration MAXIMUM_CLAIM_STAGGER = Duration.ofMillis(400);

    /** How long a claim outlives its VM; a VM that waits for its trial or runs it renews it with each digest. */
    private static final Duration CLAIM_LIFETIME = Duration.ofSeconds(2);

    private final VmName self;
    private final Runnable onNews;
    private final Map<SegmentKey, SegmentCase> cases = new LinkedHashMap<>();
    private final Map<SegmentKey, MonotonicTime> news = new LinkedHashMap<>();
    private final Map<SegmentKey, MonotonicTime> announcementTimes = new LinkedHashMap<>();
    private final Set<SegmentKey> suspects = new LinkedHashSet<>();
    private final Set<SegmentKey> verdicts = new LinkedHashSet<>();
    private long lastTrial;
    private Optional<MonotonicTime> repeatedAt = Optional.empty();
    private int nextRepeated;

    /**
     * Creates an empty quarantine.
     *
     * @param self the name of this VM
     * @param onNews called when this VM knows something that the others should learn soon
     */
    public SegmentQuarantine(VmName self, Runnable onNews) {
        this.self = self;
        this.onNews = onNews;
        this.nextRepeated = self.hashCode();
    }

    /**
     * Decides whether a request may run.
     *
     * @param segments the shared segments of its prompt
     * @param now the current time
     * @return the decision; after a {@link SegmentAdmission.Trial}, {@link #endTrial} must be called
     */
    public SegmentAdmission admit(List<SegmentKey> segments, MonotonicTime now) {
        Map<SegmentKey, SegmentCase> onTrial = new TreeMap<>();
        for (SegmentKey key : segments) {
            SegmentCase found = cases.get(key);
            if (found != null && found.isVerdict() && isRefusedFor(found, segments, now)) {
                return new SegmentAdmission.Refused(
                        key, positive(found.retrialAt().since(now)));
            }
            if (found != null && found.isSuspect()) {
                onTrial.put(key, found);
            }
        }
        return onTrial.isEmpty() ? new SegmentAdmission.Unrestricted() : tryOut(onTrial, now);
    }

    /**
     * Whether a request is refused because of a convicted segment. It is not refused if it lacks another convicted one
     * that was part of the same crashes, since either of them may be the cause.
     */
    private boolean isRefusedFor(SegmentCase convicted, List<SegmentKey> segments, MonotonicTime now) {
        boolean isAmbiguous = verdicts.stream()
                .filter(other -> !segments.contains(other))
                .anyMatch(other -> cases.get(other)
                        .crashes()
                        .keySet()
                        .containsAll(convicted.crashes().keySet()));
        return !isAmbiguous && now.isBefore(convicted.retrialAt());
    }

    private static Duration positive(Duration duration) {
        return duration.isNegative() ? Duration.ZERO : duration;
    }

    private SegmentAdmission tryOut(Map<SegmentKey, SegmentCase> onTrial, MonotonicTime now) {
        for (Map.Entry<SegmentKey, SegmentCase> suspect : onTrial.entrySet()) {
            SegmentCase found = suspect.getValue();
            if (found.isSettling(now)
                    || found.claim().isHeldByOther(self, now)
                    || found.claim().isTrialRunning()
                    || isClaimStaggered(suspect.getKey(), found, now)) {
                return new SegmentAdmission.Wait(suspect.getKey());
            }
        }
        Optional<SegmentKey> unsettled = claimAll(onTrial, now);
        return unsettled.<SegmentAdmission>map(SegmentAdmission.Wait::new).orElseGet(() -> startTrial(onTrial));
    }

    /** Whether this VM still leaves the trial to others, so that not all VMs with such requests claim it together. */
    private boolean isClaimStaggered(SegmentKey key, SegmentCase found, MonotonicTime now) {
        long draw = Rendezvous.weight(
                Rendezvous.hash(key.toString()) + found.crashes().size(), self);
        Duration stagger = Duration.ofMillis(Math.floorMod(draw, MAXIMUM_CLAIM_STAGGER.toMillis()));
        MonotonicTime allowedFrom =
                found.lastEvidenceAt().plus(SegmentCase.SETTLING).plus(stagger);
        return found.claim().claimant(now).isEmpty() && now.isBefore(allowedFrom);
    }

    private Optional<SegmentKey> claimAll(Map<SegmentKey, SegmentCase> onTrial, MonotonicTime now) {
        Optional<SegmentKey> unsettled = Optional.empty();
        for (Map.Entry<SegmentKey, SegmentCase> suspect : onTrial.entrySet()) {
            boolean isUnsettled = suspect.getValue()
                    .claim()
                    .claim(self, now, SegmentCase.SETTLING, CLAIM_LIFETIME)
                    .isPresent();
            if (suspect.getValue().claim().takeUnannounced()) {
                announce(suspect.getKey(), now);
            }
            if (isUnsettled) {
                unsettled = Optional.of(suspect.getKey());
            }
        }
        return unsettled;
    }

    private SegmentAdmission startTrial(Map<SegmentKey, SegmentCase> onTrial) {
        long number = ++lastTrial;
        Set<UpstreamName> excluded = new HashSet<>();
        onTrial.values().forEach(suspect -> {
            suspect.claim().startTrial(number);
            excluded.addAll(suspect.crashedUpstreams());
        });
        return new SegmentAdmission.Trial(number, onTrial.keySet(), excluded);
    }

    /**
     * Records that a trial has ended. Its result is recorded beforehand with {@link #recordCrash} or {@link
     * #recordBegun}.
     *
     * @param trial the trial that {@link #admit} returned
     * @param now the current time
     */
    public void endTrial(SegmentAdmission.Trial trial, MonotonicTime now) {
        for (SegmentKey key : trial.segments()) {
            SegmentCase found = cases.get(key);
            if (found != null && found.claim().endTrial(trial.number())) {
                found.claim().release();
                announce(key, now);
            }
        }
    }

    /**
     * Records that an upstream ended before it began to answer a request.
     *
     * @param segments the shared segments of the request's prompt
     * @param lifetime the lifetime of the upstream
     * @param sentAt when the request was sent
     * @param now the current time
     */
    public void recordCrash(
            Collection<SegmentKey> segments, UpstreamLifetime lifetime, MonotonicTime sentAt, MonotonicTime now) {
        SegmentCrash crash = new SegmentCrash(lifetime, sentAt, now);
        for (SegmentKey key : segments) {
            if (caseOf(key, now).addCrash(crash, now)) {
                update(key, "crash");
                announcementTimes.putIfAbsent(key, now.plus(announcementDelay(key)));
            }
        }
    }

    private Duration announcementDelay(SegmentKey key) {
        Duration spread = MAXIMUM_ANNOUNCEMENT_DELAY.minus(MINIMUM_ANNOUNCEMENT_DELAY);
        long draw = Rendezvous.weight(Rendezvous.hash(key.toString()), self);
        return MINIMUM_ANNOUNCEMENT_DELAY.plus(Duration.ofMillis(Math.floorMod(draw, spread.toMillis())));
    }

    /**
     * Records that an upstream has begun to answer a request and continued: the segments did not cause the crashes that
     * are known until now.
     *
     * @param segments the shared segments of the request's prompt
     * @param now the current time
     */
    public void recordBegun(Collection<SegmentKey> segments, MonotonicTime now) {
        for (SegmentKey key : segments) {
            SegmentCase found = cases.get(key);
            if (found != null && !found.crashes().isEmpty()) {
                found.refute(found.crashTags(), now);
                update(key, "answer_begun");
                announcementTimes.remove(key);
                if (found.takeShared()) {
                    announce(key, now);
                }
            }
        }
    }

    /**
     * Announces crashes that have not been refuted here for a short time.
     *
     * @param now the current time
     */
    public void announceDue(MonotonicTime now) {
        List<SegmentKey> due = announcementTimes.entrySet().stream()
                .filter(entry -> !now.isBefore(entry.getValue()))
                .map(Map.Entry::getKey)
                .toList();
        announcementTimes.keySet().removeAll(due);
        due.stream().filter(cases::containsKey).forEach(key -> announce(key, now));
    }

    /**
     * Refutes crashes of upstreams that have kept running, and drops evidence that has expired.
     *
     * @param isLive whether an upstream is known to have outlived the end of its connection at the given time
     * @param now the current time
     */
    public void review(BiPredicate<UpstreamLifetime, MonotonicTime> isLive, MonotonicTime now) {
        cases.forEach((key, reviewed) -> {
            Set<Long> live = new HashSet<>();
            reviewed.crashes().values().stream()
                    .filter(crash -> isLive.test(crash.lifetime(), crash.endedAt()))
                    .forEach(crash -> live.add(crash.lifetime().tag()));
            if (!live.isEmpty()) {
                reviewed.refute(live, now);
                update(key, "upstream_live");
                announce(key, now);
            }
        });
        cases.entrySet().removeIf(entry -> isExpired(entry.getValue(), now));
        suspects.retainAll(cases.keySet());
        verdicts.retainAll(cases.keySet());
    }

    private static boolean isExpired(SegmentCase reviewed, MonotonicTime now) {
        Duration lifetime = reviewed.isVerdict() ? VERDICT_LIFETIME : EVIDENCE_LIFETIME;
        return now.since(reviewed.lastEvidenceAt()).compareTo(lifetime) >= 0;
    }

    /**
     * Merges what another VM states.
     *
     * @param sender the VM
     * @param statement its statement
     * @param now the current time
     */
    public void receive(VmName sender, SegmentStatement statement, MonotonicTime now) {
        SegmentCase merged = merge(statement, "peer", now);
        if (statement.claimedUntil().isPresent()) {
            merged.claim().receive(sender, self, statement.claimedUntil().get());
        } else if (merged.claim().claimant(now).filter(sender::equals).isPresent()) {
            merged.claim().release();
        }
    }

    /**
     * Restores a verdict that was loaded from the store.
     *
     * @param verdict the verdict
     * @param now the current time
     */
    public void restore(SegmentStatement verdict, MonotonicTime now) {
        merge(verdict, "kept", now);
    }

    private SegmentCase merge(SegmentStatement statement, String source, MonotonicTime now) {
        SegmentCase found = caseOf(statement.key(), now);
        boolean isChanged = found.refute(statement.refutedTags(), now);
        boolean isSenderBehind = false;
        for (SegmentCrash crash : statement.crashes()) {
            if (found.isRefuted(crash.lifetime())) {
                found.renewRefutation(crash.lifetime(), now);
                isSenderBehind = true;
            }
            isChanged |= found.addCrash(crash, now);
        }
        if (isChanged) {
            found.markShared();
            update(statement.key(), source);
        }
        if (found.crashes().size() <= statement.crashes().size()) {
            announcementTimes.remove(statement.key());
        }
        if (isSenderBehind) {
            announce(statement.key(), now);
        }
        return found;
    }

    /**
     * Returns what the next digest states: everything that has changed lately, claims of this VM, and suspect or
     * convicted segments in rotation.
     *
     * @param now the current time
     * @return the statements
     */
    public List<SegmentStatement> nextStatements(MonotonicTime now) {
        Set<SegmentKey> selected = new LinkedHashSet<>();
        if (hasNews(now)) {
            List<SegmentKey> changed = new ArrayList<>(news.keySet());
            selected.addAll(changed.subList(Math.max(0, changed.size() - MAXIMUM_NEWS), changed.size()));
        }
        suspects.stream().filter(key -> isClaimedHere(key, now)).forEach(selected::add);
        nextRepeated(now).ifPresent(selected::add);
        return selected.stream()
                .filter(cases::containsKey)
                .map(key -> statement(key, now))
                .toList();
    }

    private Optional<SegmentKey> nextRepeated(MonotonicTime now) {
        boolean isDue = repeatedAt.isEmpty() || now.since(repeatedAt.get()).compareTo(REPEAT_INTERVAL) >= 0;
        if (suspects.isEmpty() || !isDue) {
            return Optional.empty();
        }
        repeatedAt = Optional.of(now);
        return suspects.stream()
                .skip(Math.floorMod(nextRepeated++, suspects.size()))
                .findFirst();
    }

    /**
     * Returns whether this VM knows something new that the other VMs may not know yet.
     *
     * @param now the current time
     * @return true for a short time after each change
     */
    public boolean hasNews(MonotonicTime now) {
        news.values().removeIf(until -> !now.isBefore(until));
        return !news.isEmpty();
    }

    /**
     * Returns the convicted segments. A verdict is included once evidence against it has had time to arrive.
     *
     * @param now the current time
     * @return a statement for each of them
     */
    public List<SegmentStatement> verdicts(MonotonicTime now) {
        return verdicts.stream()
                .filter(key -> !cases.get(key).isSettling(now))
                .map(key -> statement(key, now))
                .toList();
    }

    private SegmentStatement statement(SegmentKey key, MonotonicTime now) {
        SegmentCase stated = cases.get(key);
        Optional<MonotonicTime> claimedUntil =
                isClaimedHere(key, now) ? Optional.of(stated.claim().end(now, CLAIM_LIFETIME)) : Optional.empty();
        Set<Long> refuted = stated.refutedSince(now.plus(NEWS_DURATION.negated()));
        return new SegmentStatement(key, List.copyOf(stated.crashes().values()), refuted, claimedUntil);
    }

    private boolean isClaimedHere(SegmentKey key, MonotonicTime now) {
        return cases.get(key).claim().claimant(now).filter(self::equals).isPresent();
    }

    private SegmentCase caseOf(SegmentKey key, MonotonicTime now) {
        SegmentCase found = cases.computeIfAbsent(key, absent -> new SegmentCase(now));
        if (cases.size() > MAXIMUM_CASES) {
            removeEldest(key);
        }
        return found;
    }

    /** Removes the eldest case other than the given one; convicted segments go last. */
    private void removeEldest(SegmentKey kept) {
        SegmentKey eldest = null;
        for (Iterator<SegmentKey> keys = cases.keySet().iterator(); keys.hasNext(); ) {
            SegmentKey candidate = keys.next();
            if (!candidate.equals(kept) && !verdicts.contains(candidate)) {
                keys.remove();
                suspects.remove(candidate);
                return;
            }
            eldest = eldest == null ? candidate : eldest;
        }
        cases.remove(eldest);
        suspects.remove(eldest);
        verdicts.remove(eldest);
    }

    private void announce(SegmentKey key, MonotonicTime now) {
        cases.get(key).markShared();
        news.remove(key);
        news.put(key, now.plus(NEWS_DURATION));
        onNews.run();
    }

    /** Logs a change between the states of a segment. */
    private void update(SegmentKey key, String reason) {
        SegmentCase changed = cases.get(key);
        boolean isVerdict = changed.isVerdict();
        boolean isSuspect = changed.isSuspect();
        boolean isSuspicionChanged = isSuspect ? suspects.add(key) : suspects.remove(key);
        if (isVerdict ? verdicts.add(key) : verdicts.remove(key)) {
            log(isVerdict ? "segment_verdict" : "segment_verdict_lifted", key, changed, reason);
        } else if (isSuspicionChanged) {
            log(isSuspect ? "segment_suspect" : "segment_cleared", key, changed, reason);
        }
    }

    private static void log(String event, SegmentKey key, SegmentCase changed, String reason) {
        LOG.event(
                event,
                "segment",
                key,
                "reason",
                reason,
                "crashes",
                changed.crashes().size(),
                "independent",
                changed.independentCrashes(),
                "upstreams",
                changed.crashedUpstreams());
    }
}
