package org.pollenhoist.routing;

import java.time.Duration;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.UpstreamName;

/**
 * An upstream that could take a request, with what its cost depends on.
 *
 * @param upstream its name
 * @param failureDomain where it stands
 * @param ownInFlight own requests there, exact
 * @param requestsOfOthers estimate of other VMs' requests there
 * @param reportAge how long ago the last report was true; null where there was none
 * @param cachedBlocks leading blocks of the prompt that are believed to be cached there
 * @param hasAdapter whether the adapter, where one is asked for, is ready there
 * @param isHalfOpen whether this request would probe an ejected upstream
 */
record Candidate(
        UpstreamName upstream,
        FailureDomain failureDomain,
        int ownInFlight,
        int requestsOfOthers,
        Duration reportAge,
        int cachedBlocks,
        boolean hasAdapter,
        boolean isHalfOpen) {}
