package org.pollenhoist.request;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.common.VmName;

/**
 * What one VM tells all others about a suspect request.
 *
 * @param fingerprint the request
 * @param upstreams the upstreams that crashed while it ran there
 * @param trialVm the VM that claims to run it once more; empty where none does
 * @param isCleared whether it has ended well and is no longer suspect
 * @param remaining how long the notice holds after its arrival
 */
public record CrashNotice(
        RequestFingerprint fingerprint,
        Set<UpstreamName> upstreams,
        Optional<VmName> trialVm,
        boolean isCleared,
        Duration remaining) {

    /** Copies the set. */
    public CrashNotice {
        upstreams = Set.copyOf(upstreams);
    }
}
