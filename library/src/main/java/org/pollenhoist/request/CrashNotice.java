package org.pollenhoist.request;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.pollenhoist.common.VmName;

/**
 * What one VM tells all others about a suspect request.
 *
 * @param fingerprint the request
 * @param crashes the lifetimes of upstreams that seem to have crashed while it ran there
 * @param trialVm the VM that claims to run it once more; empty where none does
 * @param isCleared whether it has ended well, so that these crashes are not its fault
 * @param isVerdict whether it is not to be run again
 * @param remaining how long the notice holds after its arrival
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
