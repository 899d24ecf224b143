package org.pollenhoist.experiments.routing;

import java.util.List;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.routing.CacheEvent;
import org.pollenhoist.routing.UpstreamReport;

/** How one VM chooses. */
interface RoutingStrategy {

    /** Chooses the engine of a request. */
    UpstreamName choose(SimulatedRequest request, int trace, MonotonicTime now);

    /** Learns that a request that it routed has ended. */
    default void ended(int trace, MonotonicTime now) {}

    /** Takes a load report in. */
    default void report(UpstreamReport report, MonotonicTime now) {}

    /** Takes cache events in, which come late and with gaps. */
    default void cacheEvents(UpstreamName upstream, List<CacheEvent> events) {}
}
