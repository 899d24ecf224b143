package org.pollenhoist.routing;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.configuration.Upstream;

/**
 * What one VM knows of the upstreams. One lock guards the whole table; it is a leaf lock: nothing else is locked while
 * it is held. An upstream that leaves the configuration keeps its counts until its last request has ended.
 */
public final class UpstreamTable {

    private static final DecisionLog LOG = DecisionLog.of("routing");

    private final Object lock = new Object();
    private final Map<UpstreamName, UpstreamEntry> entries = new TreeMap<>();
    private Set<UpstreamName> configured = Set.of();

    /** Creates an empty table. */
    public UpstreamTable() {}

    /**
     * Takes the upstreams of a configuration in. Counts, reports and marks of those that stay are kept.
     *
     * @param upstreams all upstreams of the configuration
     */
    public void install(Collection<Upstream> upstreams) {
        synchronized (lock) {
            configured = upstreams.stream().map(Upstream::name).collect(Collectors.toUnmodifiableSet());
            for (Upstream upstream : upstreams) {
                entries.computeIfAbsent(upstream.name(), name -> new UpstreamEntry(upstream))
                        .define(upstream);
            }
            entries.entrySet()
                    .removeIf(entry -> !configured.contains(entry.getKey())
                            && entry.getValue().inFlight().current() == 0);
        }
    }

    /**
     * Takes a load report in, unless a newer one is known.
     *
     * @param report the report
     * @param now the present time
     * @return false where it was ignored, since its upstream is unknown or a newer report is known
     */
    public boolean recordReport(UpstreamReport report, MonotonicTime now) {
        synchronized (lock) {
            UpstreamEntry entry = entries.get(report.upstream());
            if (entry == null) {
                return false;
            }
            boolean wasLeaving = entry.isLeaving();
            boolean isAccepted = entry.accept(report, now);
            logLeaving(entry, wasLeaving, "own_signal");
            return isAccepted;
        }
    }

    /**
     * Marks an upstream as leaving by its own signal, such as a header of an answer. The mark ends with a new
     * incarnation.
     *
     * @param upstream the upstream
     */
    public void signalLeaving(UpstreamName upstream) {
        synchronized (lock) {
            UpstreamEntry entry = entries.get(upstream);
            if (entry != null) {
                boolean wasLeaving = entry.isLeaving();
                entry.signalLeaving();
                logLeaving(entry, wasLeaving, "own_signal");
            }
        }
    }

    /**
     * Replaces the set of upstreams that the platform lists as leaving.
     *
     * @param leaving the upstreams that are listed as leaving; all others are not
     */
    public void installLeavingList(Set<UpstreamName> leaving) {
        synchronized (lock) {
            entries.forEach((name, entry) -> {
                boolean wasLeaving = entry.isLeaving();
                entry.listLeaving(leaving.contains(name));
                logLeaving(entry, wasLeaving, "platform_list");
            });
        }
    }

    /**
     * Counts a failed connection attempt. Consecutive ones eject the upstream for a while.
     *
     * @param upstream the upstream
     * @param now the present time
     */
    public void recordConnectFailure(UpstreamName upstream, MonotonicTime now) {
        synchronized (lock) {
            UpstreamEntry entry = entries.get(upstream);
            if (entry != null && entry.failures().recordFailure(now)) {
                LOG.event("eject", "upstream", upstream, "reason", "connect_failures");
            }
        }
    }

    /**
     * Notes that the upstream answered something, which ends its ejection.
     *
     * @param upstream the upstream
     */
    public void recordContact(UpstreamName upstream) {
        synchronized (lock) {
            UpstreamEntry entry = entries.get(upstream);
            if (entry != null) {
                entry.failures().recordContact();
            }
        }
    }

    /**
     * Takes events of an upstream's prefix cache in. A gap in their numbers voids what was learnt before it.
     *
     * @param upstream the upstream
     * @param incarnation the upstream's start that the events belong to; a new one voids everything
     * @param events the events in order
     */
    public void recordCacheEvents(UpstreamName upstream, long incarnation, List<CacheEvent> events) {
        synchronized (lock) {
            UpstreamEntry entry = entries.get(upstream);
            if (entry != null) {
                entry.hints().startIncarnation(incarnation);
                events.forEach(entry.hints()::apply);
            }
        }
    }

    /**
     * Returns the own requests in flight at an upstream.
     *
     * @param upstream the upstream
     * @return the exact count
     */
    public int inFlight(UpstreamName upstream) {
        synchronized (lock) {
            UpstreamEntry entry = entries.get(upstream);
            return entry == null ? 0 : entry.inFlight().current();
        }
    }

    /**
     * Returns how many upstreams hold the target, not counting those that leave, whether or not they can be reached.
     *
     * @param target the target
     * @param without upstreams that do not count
     * @return the number of copies
     */
    public int copies(RoutingTarget target, Set<UpstreamName> without) {
        synchronized (lock) {
            return (int) entries.values().stream()
                    .filter(entry -> isInPool(entry, target) && !entry.isLeaving() && entry.holds(target))
                    .filter(entry -> !without.contains(entry.definition().name()))
                    .count();
        }
    }

    /** Chooses among the candidates and counts the request there, as one step. */
    RoutingDecision choose(RoutingRequest request, MonotonicTime now, Function<CandidateSet, RoutingChoice> choosing) {
        synchronized (lock) {
            RoutingChoice choice = choosing.apply(candidates(request, now));
            return switch (choice) {
                case RoutingChoice.Refuse refuse ->
                    new RoutingDecision.NoUpstream(refuse.reason(), refuse.retryAfter());
                case RoutingChoice.Take take -> enter(take, request, now);
            };
        }
    }

    void release(InFlightHandle handle, MonotonicTime now) {
        synchronized (lock) {
            UpstreamEntry entry = entries.get(handle.upstream());
            entry.inFlight().change(-1, now);
            if (handle.isProbe()) {
                entry.failures().endProbe();
            }
            if (entry.inFlight().current() == 0 && !configured.contains(handle.upstream())) {
                entries.remove(handle.upstream());
            }
        }
    }

    private RoutingDecision enter(RoutingChoice.Take take, RoutingRequest request, MonotonicTime now) {
        UpstreamName upstream = take.candidate().upstream();
        UpstreamEntry entry = entries.get(upstream);
        boolean isProbe = take.candidate().isHalfOpen();
        if (isProbe) {
            entry.failures().startProbe();
        }
        entry.inFlight().change(1, now);
        entry.hints().expect(request.prefixFingerprints());
        return new RoutingDecision.Chosen(upstream, new InFlightHandle(this, upstream, now, isProbe), take.reason());
    }

    private CandidateSet candidates(RoutingRequest request, MonotonicTime now) {
        List<UpstreamEntry> inPool = entries.values().stream()
                .filter(entry -> isInPool(entry, request.target()))
                .toList();
        List<UpstreamEntry> holding = holding(inPool, request.target());
        List<Candidate> available = holding.stream()
                .filter(entry -> isAvailable(entry, request, now))
                .map(entry -> entry.candidate(request, now))
                .toList();
        return new CandidateSet(inPool.size(), holding.size(), available);
    }

    /** The upstreams known to hold the target; where there is none, those that have never reported. */
    private static List<UpstreamEntry> holding(List<UpstreamEntry> inPool, RoutingTarget target) {
        List<UpstreamEntry> known =
                inPool.stream().filter(entry -> entry.holds(target)).toList();
        if (!known.isEmpty()) {
            return known;
        }
        return inPool.stream().filter(entry -> !entry.hasReported()).toList();
    }

    private boolean isInPool(UpstreamEntry entry, RoutingTarget target) {
        return entry.definition().pool().equals(target.pool())
                && configured.contains(entry.definition().name());
    }

    private static boolean isAvailable(UpstreamEntry entry, RoutingRequest request, MonotonicTime now) {
        return !entry.isLeaving()
                && !request.excluded().contains(entry.definition().name())
                && entry.failures().state(now) != ConnectFailures.State.OPEN;
    }

    private static void logLeaving(UpstreamEntry entry, boolean wasLeaving, String source) {
        if (entry.isLeaving() && !wasLeaving) {
            LOG.event("leave", "upstream", entry.definition().name(), "reason", source);
        }
    }
}
