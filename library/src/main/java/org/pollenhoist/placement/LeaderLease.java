package org.pollenhoist.placement;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.platform.PlatformService;
import org.pollenhoist.platform.StoredValue;
import org.pollenhoist.platform.WriteOutcome;

/**
 * The lease under which one process acts for a failure domain. It saves needless work; safety rests on the ledgers,
 * since a paused holder may believe in a lease that has ended.
 */
public final class LeaderLease {

    private static final DecisionLog LOG = DecisionLog.of("placement");
    private static final int RENEWALS_PER_LEASE = 3;

    private final PlatformService platform;
    private final FailureDomain domain;
    private final String process;
    private final Duration duration;
    private Optional<String> lease = Optional.empty();
    private boolean isHolder;
    private MonotonicTime heldUntil = new MonotonicTime(0);
    private MonotonicTime renewAt = new MonotonicTime(0);

    /**
     * Creates the lease of a process, which does not hold it yet.
     *
     * @param platform the platform's service
     * @param domain the failure domain
     * @param process unique to this start of the process
     * @param duration how long the lease lasts without renewal
     */
    public LeaderLease(PlatformService platform, FailureDomain domain, String process, Duration duration) {
        this.platform = platform;
        this.domain = domain;
        this.process = process;
        this.duration = duration;
    }

    /**
     * Returns the key of the record that names a domain's acting process.
     *
     * @param domain the domain
     * @return the key
     */
    public static String key(FailureDomain domain) {
        return "placement/leader/" + domain.value();
    }

    /**
     * Acquires or renews the lease where it is time to.
     *
     * @param now the present time, read before this call
     * @return whether this process acts for the domain
     */
    public boolean update(MonotonicTime now) {
        try {
            if (isHeld(now)) {
                renew(now);
            } else {
                acquire(now);
            }
        } catch (PollenhoistException exception) {
            LOG.event("lease_unanswered", "domain", domain, "process", process, "reason", exception.getMessage());
        }
        return isHeld(now);
    }

    /**
     * Tells whether this process acts for the domain, by its own clock.
     *
     * @param now the present time
     * @return whether the lease has not ended yet
     */
    public boolean isHeld(MonotonicTime now) {
        return isHolder && now.isBefore(heldUntil);
    }

    /**
     * Returns when the lease ends unless it is renewed, by this process's own clock.
     *
     * @return the end of the lease
     */
    MonotonicTime heldUntil() {
        return heldUntil;
    }

    /**
     * Returns the identifier under which the platform knows the lease.
     *
     * @return the identifier, or empty where the lease is not held
     */
    Optional<String> identifier() {
        return lease;
    }

    /** Asks the platform at the next update whether the lease still stands. */
    public void doubt() {
        renewAt = new MonotonicTime(Long.MIN_VALUE / 2);
    }

    /** Ends the lease, for a planned stop. */
    public void release() {
        isHolder = false;
        lease.ifPresent(platform::revokeLease);
        lease = Optional.empty();
    }

    private void renew(MonotonicTime now) {
        if (now.isBefore(renewAt)) {
            return;
        }
        if (platform.renewLease(lease.orElseThrow())) {
            hold(now);
        } else {
            lose("lease_ended");
        }
    }

    private void acquire(MonotonicTime now) {
        if (isHolder) {
            lose("lease_lapsed");
        }
        Optional<StoredValue> present = platform.read(key(domain));
        if (present.isPresent()) {
            return;
        }
        String granted = platform.grantLease(duration);
        byte[] content = process.getBytes(StandardCharsets.UTF_8);
        WriteOutcome outcome = platform.compareAndSwap(key(domain), 0, content, Optional.of(granted));
        boolean isWritten = switch (outcome) {
            case WriteOutcome.Written written -> true;
            case WriteOutcome.Conflict conflict -> false;
            case WriteOutcome.Unknown unknown -> isNamedInRecord(content);
        };
        if (isWritten) {
            lease = Optional.of(granted);
            isHolder = true;
            hold(now);
            LOG.event("lease_acquired", "domain", domain, "process", process, "reason", "no_holder");
        }
    }

    private boolean isNamedInRecord(byte[] content) {
        return platform.read(key(domain))
                .map(value -> Arrays.equals(value.content(), content))
                .orElse(false);
    }

    private void hold(MonotonicTime now) {
        heldUntil = now.plus(duration);
        renewAt = now.plus(duration.dividedBy(RENEWALS_PER_LEASE));
    }

    private void lose(String reason) {
        isHolder = false;
        lease = Optional.empty();
        LOG.event("lease_lost", "domain", domain, "process", process, "reason", reason);
    }
}
