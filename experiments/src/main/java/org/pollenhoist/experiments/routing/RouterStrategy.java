package org.pollenhoist.experiments.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.configuration.Upstream;
import org.pollenhoist.routing.CacheEvent;
import org.pollenhoist.routing.InFlightHandle;
import org.pollenhoist.routing.Router;
import org.pollenhoist.routing.RoutingDecision;
import org.pollenhoist.routing.RoutingPolicy;
import org.pollenhoist.routing.RoutingRequest;
import org.pollenhoist.routing.RoutingTarget;
import org.pollenhoist.routing.UpstreamReport;
import org.pollenhoist.routing.UpstreamTable;

/** The library's router, as a VM uses it. */
final class RouterStrategy implements RoutingStrategy {

    private final FailureDomain origin;
    private final UpstreamTable table = new UpstreamTable();
    private final Router router;
    private final Map<Integer, InFlightHandle> inFlight = new HashMap<>();

    RouterStrategy(RoutingPolicy policy, List<Upstream> engines, FailureDomain origin, long seed) {
        this.origin = origin;
        table.install(engines);
        router = new Router(table, policy, new Random(seed));
    }

    @Override
    public UpstreamName choose(SimulatedRequest request, int trace, MonotonicTime now) {
        RoutingTarget target =
                new RoutingTarget(RoutingExperiment.POOL, java.util.Optional.of(request.model()), request.adapter());
        RoutingRequest routed = new RoutingRequest(target, request.prefixes(), request.priority(), origin, Set.of());
        RoutingDecision.Chosen chosen = (RoutingDecision.Chosen) router.choose(routed, now);
        inFlight.put(trace, chosen.inFlight());
        return chosen.upstream();
    }

    @Override
    public void ended(int trace, MonotonicTime now) {
        inFlight.remove(trace).release(now);
    }

    @Override
    public void report(UpstreamReport report, MonotonicTime now) {
        table.recordReport(report, now);
    }

    @Override
    public void cacheEvents(UpstreamName upstream, List<CacheEvent> events) {
        table.recordCacheEvents(upstream, 1, events);
    }
}
