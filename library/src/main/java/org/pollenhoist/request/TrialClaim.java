package org.pollenhoist.request;

import java.time.Duration;
import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.VmName;

/**
 * The claim of one VM to run the next trial of something suspect, and the trial that runs on this VM. If two VMs claim
 * the same trial, the VM with the lower name runs it. Not thread-safe.
 */
public final class TrialClaim {

    private static final long NO_TRIAL = 0;

    private VmName claimant;
    private MonotonicTime claimedUntil;
    private MonotonicTime trialAllowedFrom;
    private boolean isAnnounced;
    private long runningTrial = NO_TRIAL;

    /**
     * Returns the VM that has claimed the trial.
     *
     * @param now the current time
     * @return the VM, or empty if there is no valid claim
     */
    public Optional<VmName> claimant(MonotonicTime now) {
        return isClaimed(now) ? Optional.of(claimant) : Optional.empty();
    }

    /**
     * Returns when the claim ends, for an announcement to other VMs.
     *
     * @param now the current time
     * @param renewal how long a claim whose trial is running is valid from now on
     * @return the end of the claim
     */
    public MonotonicTime end(MonotonicTime now, Duration renewal) {
        return isTrialRunning() ? now.plus(renewal) : claimedUntil;
    }

    /**
     * Returns whether another VM has claimed the trial.
     *
     * @param self the name of this VM
     * @param now the current time
     * @return true while the claim of another VM is valid
     */
    public boolean isHeldByOther(VmName self, MonotonicTime now) {
        return isClaimed(now) && !claimant.equals(self);
    }

    /**
     * Claims the trial for this VM.
     *
     * @param self the name of this VM
     * @param now the current time
     * @param settling the time that a competing claim may need to arrive
     * @param lifetime how long the claim is valid if no trial runs
     * @return the time to wait before the trial may start, or empty if it may start now
     */
    public Optional<Duration> claim(VmName self, MonotonicTime now, Duration settling, Duration lifetime) {
        if (!isClaimed(now)) {
            claimant = self;
            claimedUntil = now.plus(lifetime);
            trialAllowedFrom = now.plus(settling);
            isAnnounced = false;
        }
        return now.isBefore(trialAllowedFrom) ? Optional.of(trialAllowedFrom.since(now)) : Optional.empty();
    }

    /**
     * Returns true if the claim has not been announced to the other VMs yet, and marks it as announced.
     *
     * @return whether the claim has to be announced
     */
    public boolean takeUnannounced() {
        boolean isFirst = !isAnnounced;
        isAnnounced = true;
        return isFirst;
    }

    /**
     * Applies a claim of another VM. The VM with the lower name wins, unless the trial is already running here.
     *
     * @param other the other VM
     * @param self the name of this VM
     * @param until the end of the other VM's claim
     */
    public void receive(VmName other, VmName self, MonotonicTime until) {
        boolean isOwnClaim = claimant != null && claimant.equals(self);
        if (isOwnClaim && (isTrialRunning() || self.compareTo(other) < 0)) {
            return;
        }
        claimant = other;
        claimedUntil = until;
    }

    /** Removes the claim, whichever VM holds it. */
    public void release() {
        claimant = null;
    }

    /**
     * Starts a trial on this VM.
     *
     * @param number the positive number that identifies it
     * @return false if a trial is already running here
     */
    public boolean startTrial(long number) {
        if (isTrialRunning()) {
            return false;
        }
        runningTrial = number;
        return true;
    }

    /**
     * Ends a trial on this VM.
     *
     * @param number the number that identifies it
     * @return whether this trial was running
     */
    public boolean endTrial(long number) {
        boolean isRunning = isTrialRunning() && runningTrial == number;
        if (isRunning) {
            runningTrial = NO_TRIAL;
        }
        return isRunning;
    }

    /**
     * Returns whether a trial runs on this VM.
     *
     * @return true from the start of a trial to its end
     */
    public boolean isTrialRunning() {
        return runningTrial != NO_TRIAL;
    }

    private boolean isClaimed(MonotonicTime now) {
        return claimant != null && (isTrialRunning() || now.isBefore(claimedUntil));
    }
}
