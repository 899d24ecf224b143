package org.pollenhoist.serving.node;

import java.time.Duration;
import org.pollenhoist.common.MonotonicTime;

/** Lets VMs request a vacant placement lease one after the other, so that usually one request is enough. */
final class LeaseRequestStagger {

    /** Delay per preceding VM before a VM requests the placement lease. */
    private static final Duration DELAY_PER_VM = Duration.ofMillis(150);

    private MonotonicTime vacantSince;

    LeaseRequestStagger(MonotonicTime now) {
        vacantSince = now;
    }

    /**
     * Returns whether the lease has been vacant for long enough that it is this VM's turn.
     *
     * @param isVacant whether the lease is vacant now
     * @param vmIndex the number of VMs before this one
     * @param now the current time
     */
    boolean isDue(boolean isVacant, int vmIndex, MonotonicTime now) {
        if (!isVacant) {
            vacantSince = now;
        }
        return now.since(vacantSince).compareTo(DELAY_PER_VM.multipliedBy(vmIndex)) >= 0;
    }
}
