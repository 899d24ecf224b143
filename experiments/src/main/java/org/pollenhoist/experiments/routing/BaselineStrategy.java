package org.pollenhoist.experiments.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.routing.UpstreamReport;

/** The simple ways to choose that the router is measured against. */
final class BaselineStrategy implements RoutingStrategy {

    private final Kind kind;
    private final Random random;
    private final Map<UpstreamName, UpstreamReport> reports = new TreeMap<>();
    private int next;

    /** The ways. */
    enum Kind {
        /** Any holder of the model with the same chance. */
        RANDOM,
        /** The holders in turn. */
        ROUND_ROBIN,
        /** The holder whose last report names the fewest requests. */
        LEAST_REPORTED
    }

    BaselineStrategy(Kind kind, long seed) {
        this.kind = kind;
        this.random = new Random(seed);
    }

    @Override
    public UpstreamName choose(SimulatedRequest request, int trace, MonotonicTime now) {
        List<UpstreamReport> holders = new ArrayList<>(reports.values());
        holders.removeIf(report -> !report.models().contains(request.model()));
        return switch (kind) {
            case RANDOM -> holders.get(random.nextInt(holders.size())).upstream();
            case ROUND_ROBIN -> holders.get(next++ % holders.size()).upstream();
            case LEAST_REPORTED ->
                holders.stream()
                        .min(Comparator.comparingInt(report -> report.running() + report.waiting()))
                        .orElseThrow()
                        .upstream();
        };
    }

    @Override
    public void report(UpstreamReport report, MonotonicTime now) {
        reports.put(report.upstream(), report);
    }
}
