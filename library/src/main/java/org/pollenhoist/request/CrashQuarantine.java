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
 * Detects requests that crash upstreams and stops them from running again. A request is suspect once an upstream has
 * crashed while executing it: the whole fleet runs it at most once more, on another upstream and never on the last copy
 * of a model. A request that was executing when a second upstream crashed is quarantined: all its repeats are rejected
 * immediately with the same final response. If one upstream crashes under many different requests, the upstream is
 * considered faulty instead of the requests; a request that was present at three crashes is quarantined all the same.
 *
 * <p>A broken connection counts as a crash until the upstream turns out to be still running ({@link #review}). Only
 * this, or its expiry, ends a verdict.
 *
 * <p>The VM that is to run the trial of a suspect request first claims it, and waits long enough for a competing claim
 * to arrive. If two VMs claim the same trial, the VM with the lower name runs it. Thread-safe: uses one lock, which is
 * held while copies are counted (lock order: this lock, then that of the table of upstreams) and released before
 * notices are sent.
 */
public final class CrashQuarantine {

    private static final DecisionLog LOG = DecisionLog.of("request");
    private static final int CRASHES_BEFORE_VERDICT = 2;

    /** Number of crashes that quarantines a request even if all upstreams involved are considered faulty. */
    private static final int CRASHES_BEFORE_UNCONDITIONAL_VERDICT = 3;

    private static final int MAXIMUM_CASES = 10_000;
    private static final Duration CASE_LIFETIME = Duration.ofMinutes(10);

    /** How long refuted crashes are kept, so that late notices of peers can't report the same crashes again. */
    private static final Duration REFUTED_LIFETIME = Duration.ofSeconds(10);

    /**
     * Retry time that is returned to a caller whose request failed with a broken connection. It gives the notices time
     * to reach all VMs before the retry: the bound on the number of crashes holds only if they arrive first.
     */
    public static final Duration RETRY_AFTER_BREAK = Duration.ofSeconds(1);

    /** Twice the longest delay of a notice between two VMs for which the bound on crashes holds. */
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
     * @param copies counts the upstreams that have loaded the model that it needs
     * @param now the current time
     * @return the decision; after an {@link Admission.Trial}, {@link #endTrial} must be called when the attempt ends
     */
    public Admission admit(RequestFingerprint fingerprint, CopyCount copies, MonotonicTime now) {
        CrashNotice notice = null;
        Admission admission;
        synchronized (lock) {
            CrashCase found = liveCase(fingerprint, now);
            admission = found == null ? new Admission.Unrestricted() : decide(found, copies, now);
            if (admission instanceof Admission.AskAgain && found.trial().takeUnannounced()) {
                notice = notice(fingerprint, found, now);
            }
        }
        send(notice);
        return admission;
    }

    /**
     * Records that the connection to an upstream broke while it executed a request. This counts as a crash of the
     * upstream.
     *
     * @param fingerprint the request
     * @param lifetime the lifetime of the upstream
     * @param now the current time
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
     * Records that a request completed with a full response: it is no longer suspect.
     *
     * @param fingerprint the request
     * @param now the current time
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
     * Removes recorded crashes of upstreams that are still running, since their connections broke for another reason.
     * Lifts each verdict that no longer has enough crashes without them.
     *
     * @param isLive whether the upstream still appears to be in the given lifetime
     * @param visibleWithin the longest time that it takes to detect the end of an upstream's lifetime
     * @param now the current time
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
     * Records that the attempt of a trial has ended, whether or not it succeeded. Its result is recorded beforehand
     * with {@link #recordBreak} or {@link #recordSuccess}.
     *
     * @param fingerprint the request
     * @param trial the trial that {@link #admit} returned
     */
    public void endTrial(RequestFingerprint fingerprint, Admission.Trial trial) {
        synchronized (lock) {
            CrashCase found = cases.get(fingerprint);
            if (found != null) {
                found.trial().endTrial(trial.number());
            }
        }
    }

    /**
     * Applies a notice from another VM.
     *
     * @param notice the notice
     * @param now the current time
     */
    public void receive(CrashNotice notice, MonotonicTime now) {
        receive(notice, "peer", now);
    }

    /**
     * Restores a verdict that was loaded from the store.
     *
     * @param verdict the verdict
     * @param now the current time
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
            notice.trialVm().ifPresent(vm -> found.trial().receive(vm, self, now.plus(CLAIM_LIFETIME)));
            judge(notice.fingerprint(), found, notice.isVerdict(), source, now);
        }
    }

    /**
     * Returns whether there are any records of suspect or quarantined requests. If there are none, callers need not
     * compute fingerprints.
     *
     * @return false if every request may run
     */
    public boolean hasCases() {
        synchronized (lock) {
            return !cases.isEmpty();
        }
    }

    /**
     * Returns the verdicts that are in force.
     *
     * @param now the current time
     * @return one notice for each quarantined request
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
     * Returns whether an upstream is considered faulty, since it crashed repeatedly under different requests.
     *
     * @param upstream the upstream
     * @param now the current time
     * @return true if its crashes are not attributed to the requests
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
        if (copies.copies(found.upstreams()) <= 1 || found.trial().isHeldByOther(self, now)) {
            return new Admission.Refused(RETRY_AFTER);
        }
        return found.trial()
                .claim(self, now, CLAIM_SETTLING, CLAIM_LIFETIME)
                .<Admission>map(Admission.AskAgain::new)
                .orElseGet(() -> startTrial(found));
    }

    private Admission startTrial(CrashCase found) {
        long number = ++lastTrial;
        if (!found.trial().startTrial(number)) {
            return new Admission.Refused(RETRY_AFTER);
        }
        return new Admission.Trial(number, found.upstreams());
    }

    private void judge(
            RequestFingerprint fingerprint,
            CrashCase changed,
            boolean isPeerVerdict,
            String reason,
            MonotonicTime now) {
        long counted = isPeerVerdict ? changed.crashes().size() : blamedCrashes(changed, now);
        boolean isToBeQuarantined =
                counted >= CRASHES_BEFORE_VERDICT || changed.crashes().size() >= CRASHES_BEFORE_UNCONDITIONAL_VERDICT;
        if (isToBeQuarantined && !changed.isVerdict()) {
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
                fingerprint,
                found.crashes(),
                found.trial().claimant(now),
                false,
                found.isVerdict(),
                found.remaining(now));
    }

    private void send(CrashNotice notice) {
        if (notice != null) {
            broadcast.accept(notice);
        }
    }
}
