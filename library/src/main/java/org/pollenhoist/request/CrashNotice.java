package org.pollenhoist.request;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.pollenhoist.common.VmName;

/**
 * A notice about a suspect request, which one VM broadcasts to all other VMs.
 *
 * @param fingerprint the request
 * @param crashes the lifetimes of the upstreams that appear to have crashed while executing it
 * @param trialVm the VM that claims the trial of the request; empty if there is no claim
 * @param isCleared whether the request has since succeeded, so that it did not cause these crashes
 * @param isVerdict whether the request is quarantined
 * @param remaining how long the notice is valid after it is received
 */
public record CrashNotice(
        RequestFingerprint fingerprint,
        Set<UpstreamLifetime> crashes,
        Optional<VmName> trialVm,
        boolean isCleared,
        boolean isVerdict,
        Duration remaining) {

    /** Copies the set. */
    public CrashNotice {
        crashes = Set.copyOf(crashes);
    }
}
