package org.pollenhoist.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.common.VmName;

/**
 * Blames requests for crashes of upstreams. A request under which one upstream crashed is suspect: in the whole fleet
 * it runs once more at most, elsewhere, and never on a model's last copy. A request under which a second upstream
 * crashed is quarantined, and its repeats get the same final answer at once. An upstream that crashes under many
 * different requests is blamed in their place, but not for three crashes under the same one.
 *
 * <p>A broken connection counts as a crash until the upstream is seen to live on ({@link #review}). Nothing else lifts
 * a verdict.
 *
 * <p>The VM that wants to run a suspect request once more claims the trial, waits until a competing claim would have
 * arrived, and yields to the one with the lower name. Thread-safe; one lock, which is held while copies are counted
 * (lock order: this one, then the table of upstreams) and not held while notices are sent.
 */
public final class CrashQuarantine {

    private static final DecisionLog LOG = DecisionLog.of("request");
    private static final int CRASHES_BEFORE_VERDICT = 2;

    /** Crashes after which the upstreams are not blamed any more, however often they crash. */
    private static final int CRASHES_BEYOND_CHANCE = 3;

    private static final int MAXIMUM_CASES = 10_000;
    private static final Duration CASE_LIFETIME = Duration.ofMinutes(10);

    /** How long it is remembered which upstreams did not crash, so that peers who think so are not believed. */
    private static final Duration REFUTED_LIFETIME = Duration.ofSeconds(10);

    /**
     * When a caller whose request broke off is told to come back. A repeat that comes then, through whatever VM, finds
     * the suspicion there: the bound on crashes holds where notices arrive before callers do.
     */
    public static final Duration RETRY_AFTER_BREAK = Duration.ofSeconds(1);

    /** Twice the longest delay of a notice between two VMs that the bound on crashes allows for. */
    private static final Duration CLAIM_SETTLING = Duration.ofMillis(200);

    private static final Duration CLAIM_LIFETIME = Duration.ofSeconds(30);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    private final VmName self;
    private final Consumer<CrashNotice> broadcast;
    private final Object lock = new Object();
    private final Map<RequestFingerprint, CrashCase> cases = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestFingerprint, CrashCase> eldest) {
            return size() > MAXIMUM_CASES;
        }
    };
    private final Map<UpstreamName, UpstreamCrashes> crashesByUpstream = new HashMap<>();
    private long lastTrial;

    /**
     * Creates an empty quarantine.
     *
     * @param self the name of this VM
     * @param broadcast sends a notice to all other VMs; called without a lock held
     */
    public CrashQuarantine(VmName self, Consumer<CrashNotice> broadcast) {
        this.self = self;
        this.broadcast = broadcast;
    }

    /**
     * Decides whether a request may run.
     *
     * @param fingerprint the request
     * @param copies counts the upstreams that hold what it needs
     * @param now the present time
     * @return the decision; after a {@link Admission.Trial} {@link #endTrial} is to follow once the attempt has ended
     */
    public Admission admit(RequestFingerprint fingerprint, CopyCount copies, MonotonicTime now) {
        CrashNotice notice = null;
        Admission admission;
        synchronized (lock) {
            CrashCase found = liveCase(fingerprint, now);
            admission = found == null ? new Admission.Unrestricted() : decide(found, copies, now);
            if (admission instanceof Admission.AskAgain && found.takeUnannouncedClaim()) {
                notice = notice(fingerprint, found, now);
            }
        }
        send(notice);
        return admission;
    }

    /**
     * Notes that the connection to an upstream broke while a request ran there, as a crash would break it.
     *
     * @param fingerprint the request
     * @param lifetime the lifetime of the upstream
     * @param now the present time
     */
    public void recordBreak(RequestFingerprint fingerprint, UpstreamLifetime lifetime, MonotonicTime now) {
        CrashNotice notice;
        synchronized (lock) {
            crashesByUpstream
                    .computeIfAbsent(lifetime.upstream(), name -> new UpstreamCrashes())
                    .record(fingerprint, lifetime, now);
            CrashCase changed = liveOrNewCase(fingerprint, now);
            changed.addCrash(lifetime, now, now.plus(CASE_LIFETIME));
            LOG.event(
                    "crash",
                    "fingerprint",
                    fingerprint,
                    "upstream",
                    lifetime.upstream(),
                    "started",
                    lifetime.startedMilliseconds(),
                    "crashes",
                    changed.crashes().size(),
                    "faulty",
                    isFaulty(lifetime.upstream(), now));
            judge(fingerprint, changed, false, "break", now);
            notice = notice(fingerprint, changed, now);
        }
        send(notice);
    }

    /**
     * Notes that a request ended with a whole answer, which clears it from suspicion.
     *
     * @param fingerprint the request
     * @param now the present time
     */
    public void recordSuccess(RequestFingerprint fingerprint, MonotonicTime now) {
        CrashNotice notice = null;
        synchronized (lock) {
            CrashCase found = liveCase(fingerprint, now);
            if (found != null && !found.isVerdict()) {
                Set<UpstreamLifetime> cleared = found.crashes();
                found.refute(cleared, now.plus(REFUTED_LIFETIME));
                notice = new CrashNotice(fingerprint, cleared, Optional.empty(), true, false, CASE_LIFETIME);
            }
        }
        send(notice);
    }

    /**
     * Drops the crashes of upstreams that live on: their connections broke for another reason. A verdict that rested on
     * them is lifted.
     *
     * @param isLive tells whether a lifetime has not ended, as far as can be seen
     * @param visibleWithin the longest time after which the end of an upstream can be seen
     * @param now the present time
     */
    public void review(Predicate<UpstreamLifetime> isLive, Duration visibleWithin, MonotonicTime now) {
        synchronized (lock) {
            MonotonicTime seen = now.plus(visibleWithin.negated());
            cases.forEach((fingerprint, reviewed) -> {
                Set<UpstreamLifetime> live = reviewed.crashesBefore(seen, isLive);
                if (!live.isEmpty()) {
                    refute(fingerprint, reviewed, live, now);
                }
            });
            cases.values().removeIf(reviewed -> !reviewed.isLiveAt(now));
            crashesByUpstream.values().removeIf(crashes -> crashes.isEmpty(now));
        }
    }

    private void refute(
            RequestFingerprint fingerprint, CrashCase reviewed, Set<UpstreamLifetime> live, MonotonicTime now) {
        reviewed.refute(live, now.plus(REFUTED_LIFETIME));
        live.forEach(lifetime -> {
            UpstreamCrashes crashes = crashesByUpstream.get(lifetime.upstream());
            if (crashes != null) {
                crashes.refute(lifetime);
            }
        });
        if (reviewed.isVerdict() && reviewed.crashes().size() < CRASHES_BEFORE_VERDICT) {
            reviewed.setVerdict(false);
            logVerdict("crash_verdict_lifted", fingerprint, reviewed, "upstreams_live", now);
        }
    }

    /**
     * Notes that the attempt of a trial has ended, in whatever way; what it showed is recorded before.
     *
     * @param fingerprint the request
     * @param trial the trial, as it was admitted
     */
    public void endTrial(RequestFingerprint fingerprint, Admission.Trial trial) {
        synchronized (lock) {
            CrashCase found = cases.get(fingerprint);
            if (found != null) {
                found.endTrial(trial.number());
            }
        }
    }

    /**
     * Takes a notice of another VM in.
     *
     * @param notice the notice
     * @param now the present time
     */
    public void receive(CrashNotice notice, MonotonicTime now) {
        receive(notice, "peer", now);
    }

    /**
     * Takes a verdict over that was kept elsewhere.
     *
     * @param verdict the verdict
     * @param now the present time
     */
    public void restore(CrashNotice verdict, MonotonicTime now) {
        receive(verdict, "kept", now);
    }

    private void receive(CrashNotice notice, String source, MonotonicTime now) {
        synchronized (lock) {
            CrashCase found = liveOrNewCase(notice.fingerprint(), now);
            if (notice.isCleared()) {
                if (!found.isVerdict()) {
                    found.refute(notice.crashes(), now.plus(REFUTED_LIFETIME));
                }
                return;
            }
            MonotonicTime until = now.plus(notice.remaining());
            notice.crashes().forEach(lifetime -> found.addCrash(lifetime, now, until));
            notice.trialVm().ifPresent(vm -> found.hearClaim(vm, self, now.plus(CLAIM_LIFETIME)));
            judge(notice.fingerprint(), found, notice.isVerdict(), source, now);
        }
    }

    /**
     * Tells whether any request is suspect, so that others need not be told apart.
     *
     * @return false where all requests may run
     */
    public boolean hasCases() {
        synchronized (lock) {
            return !cases.isEmpty();
        }
    }

    /**
     * Returns the verdicts that are in force.
     *
     * @param now the present time
     * @return a notice for each
     */
    public List<CrashNotice> verdicts(MonotonicTime now) {
        synchronized (lock) {
            return cases.entrySet().stream()
                    .filter(entry ->
                            entry.getValue().isVerdict() && entry.getValue().isLiveAt(now))
                    .map(entry -> notice(entry.getKey(), entry.getValue(), now))
                    .toList();
        }
    }

    /**
     * Tells whether an upstream crashes under so many different requests that the fault is its own.
     *
     * @param upstream the upstream
     * @param now the present time
     * @return true where it is to blame
     */
    public boolean isFaulty(UpstreamName upstream, MonotonicTime now) {
        synchronized (lock) {
            UpstreamCrashes crashes = crashesByUpstream.get(upstream);
            return crashes != null && crashes.isFaulty(now);
        }
    }

    private Admission decide(CrashCase found, CopyCount copies, MonotonicTime now) {
        if (found.isVerdict()) {
            found.prolong(now.plus(CASE_LIFETIME));
            return new Admission.Quarantined(CASE_LIFETIME);
        }
        if (blamedCrashes(found, now) == 0) {
            return new Admission.Unrestricted();
        }
        if (copies.copies(found.upstreams()) <= 1 || found.isTriedElsewhere(self, now)) {
            return new Admission.Refused(RETRY_AFTER);
        }
        return found.claim(self, now, CLAIM_SETTLING, CLAIM_LIFETIME)
                .<Admission>map(Admission.AskAgain::new)
                .orElseGet(() -> startTrial(found));
    }

    private Admission startTrial(CrashCase found) {
        long number = ++lastTrial;
        if (!found.startTrial(number)) {
            return new Admission.Refused(RETRY_AFTER);
        }
        return new Admission.Trial(number, found.upstreams());
    }

    private void judge(
            RequestFingerprint fingerprint, CrashCase changed, boolean isTold, String reason, MonotonicTime now) {
        long counted = isTold ? changed.crashes().size() : blamedCrashes(changed, now);
        boolean isGuilty =
                counted >= CRASHES_BEFORE_VERDICT || changed.crashes().size() >= CRASHES_BEYOND_CHANCE;
        if (isGuilty && !changed.isVerdict()) {
            changed.setVerdict(true);
            logVerdict("crash_verdict", fingerprint, changed, reason, now);
        }
    }

    private void logVerdict(
            String event, RequestFingerprint fingerprint, CrashCase changed, String reason, MonotonicTime now) {
        LOG.event(
                event,
                "fingerprint",
                fingerprint,
                "reason",
                reason,
                "crashes",
                changed.crashes().size(),
                "blamed",
                blamedCrashes(changed, now));
    }

    private long blamedCrashes(CrashCase found, MonotonicTime now) {
        return found.crashes().stream()
                .filter(lifetime -> !isFaulty(lifetime.upstream(), now))
                .count();
    }

    private CrashCase liveOrNewCase(RequestFingerprint fingerprint, MonotonicTime now) {
        CrashCase found = liveCase(fingerprint, now);
        if (found == null) {
            found = new CrashCase();
            cases.put(fingerprint, found);
        }
        return found;
    }

    private CrashCase liveCase(RequestFingerprint fingerprint, MonotonicTime now) {
        CrashCase found = cases.get(fingerprint);
        if (found == null || found.isLiveAt(now)) {
            return found;
        }
        cases.remove(fingerprint);
        return null;
    }

    private CrashNotice notice(RequestFingerprint fingerprint, CrashCase found, MonotonicTime now) {
        return new CrashNotice(
                fingerprint, found.crashes(), found.claimant(now), false, found.isVerdict(), found.remaining(now));
    }

    private void send(CrashNotice notice) {
        if (notice != null) {
            broadcast.accept(notice);
        }
    }
}
