package org.pollenhoist.serving.upstream;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Stream;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.request.UpstreamLifetime;

/** All registered upstreams, by identifier. Confined to the event loop. */
public final class UpstreamTable {

    private static final DecisionLog LOG = DecisionLog.of("upstream");

    private final Map<String, Upstream> upstreams = new LinkedHashMap<>();
    private final Map<String, Set<Upstream>> byService = new HashMap<>();
    private final Map<Integer, Upstream> byTag = new HashMap<>();
    private final Consumer<Upstream> onUnexpectedEnd;
    private final Set<String> evacuatedDomains = new TreeSet<>();
    private final RecentDepartures departures = new RecentDepartures();
    private final Set<Upstream> reportedDepartures = new HashSet<>();
    private Function<String, OptionalDouble> coldRates = service -> OptionalDouble.empty();
    private long lifetimeChanges;

    /** Creates an empty table. */
    public UpstreamTable() {
        this(upstream -> {});
    }

    /**
     * Creates an empty table.
     *
     * @param onUnexpectedEnd called with an upstream that has ended without announcing that it is leaving
     */
    public UpstreamTable(Consumer<Upstream> onUnexpectedEnd) {
        this.onUnexpectedEnd = onUnexpectedEnd;
    }

    /**
     * Adds an upstream or updates its description. A new lifetime of an upstream replaces the former one and starts
     * without load or history.
     *
     * @param description the description
     * @param now the current time
     */
    public void put(UpstreamDescription description, MonotonicTime now) {
        Upstream known = upstreams.get(description.identifier());
        if (known != null && isSameLifetime(known.description(), description)) {
            if (!known.description().isLeaving() && description.isLeaving()) {
                LOG.event("upstream_leaving", "upstream", description.identifier());
                departures.recordLeaving(known.lifetime());
            }
            known.updateDescription(description);
            limitIfCold(known, now);
            return;
        }
        if (known != null) {
            removeFromService(known);
            end(known);
            departures.recordRemoval(known.lifetime(), now);
        }
        Upstream joined = new Upstream(description, now);
        departures.forget(joined.lifetime());
        if (description.isLeaving()) {
            departures.recordLeaving(joined.lifetime());
        }
        lifetimeChanges++;
        upstreams.put(description.identifier(), joined);
        byService
                .computeIfAbsent(description.service(), service -> new LinkedHashSet<>())
                .add(joined);
        byTag.put(joined.tag(), joined);
        limitIfCold(joined, now);
        LOG.event(
                "upstream_joined",
                "upstream",
                description.identifier(),
                "service",
                description.service(),
                "version",
                description.softwareVersion(),
                "address",
                description.address(),
                "models",
                description.models().size());
    }

    /**
     * Sets how many requests cold upstreams accept. It applies to the descriptions that come from then on.
     *
     * @param requestsPerSecond returns the limit of each upstream of a service by the service's name, empty for none
     */
    public void limitColdUpstreams(Function<String, OptionalDouble> requestsPerSecond) {
        coldRates = requestsPerSecond;
    }

    private void limitIfCold(Upstream upstream, MonotonicTime now) {
        UpstreamDescription description = upstream.description();
        OptionalDouble limit = coldRates.apply(description.service());
        if (limit.isEmpty()) {
            return;
        }
        boolean wasCold = upstream.rateLimit().isCold(now);
        upstream.rateLimit().limitWhileCold(limit.getAsDouble(), now.plus(description.coldRemaining()), now);
        if (!wasCold && upstream.rateLimit().isCold(now)) {
            LOG.event(
                    "upstream_cold",
                    "upstream",
                    description.identifier(),
                    "for_ms",
                    description.coldRemaining().toMillis(),
                    "requests_per_second",
                    limit.getAsDouble());
        }
    }

    /**
     * Stops or resumes sending new requests to the upstreams of a failure domain, as its operators asked for.
     *
     * @param failureDomain the failure domain
     * @param isEvacuated true to stop, false to resume
     * @param now the current time
     */
    public void setEvacuated(String failureDomain, boolean isEvacuated, MonotonicTime now) {
        boolean isChange = isEvacuated ? evacuatedDomains.add(failureDomain) : evacuatedDomains.remove(failureDomain);
        if (isChange) {
            LOG.event(
                    isEvacuated ? "evacuation_begun" : "evacuation_ended",
                    "failure_domain",
                    failureDomain,
                    "upstreams",
                    in(failureDomain).count(),
                    "running",
                    runningIn(failureDomain, now));
        }
    }

    private Stream<Upstream> in(String failureDomain) {
        return upstreams.values().stream()
                .filter(upstream -> upstream.description().failureDomain().equals(failureDomain));
    }

    /**
     * Returns the failure domains that are evacuated.
     *
     * @return their names in alphabetical order
     */
    public Set<String> evacuatedDomains() {
        return Collections.unmodifiableSet(evacuatedDomains);
    }

    /**
     * Counts the requests of this VM that run in a failure domain, which end there when it is evacuated.
     *
     * @param failureDomain the failure domain
     * @param now the current time
     * @return the number of requests
     */
    public int runningIn(String failureDomain, MonotonicTime now) {
        return in(failureDomain)
                .mapToInt(upstream -> upstream.ownLoad(now).running())
                .sum();
    }

    /**
     * Returns whether new requests may be sent to an upstream.
     *
     * @param upstream the upstream
     * @return false if it has ended or is leaving, here or as peers report, or if its failure domain is evacuated
     */
    public boolean isUsable(Upstream upstream) {
        return upstream.isUsable()
                && !reportedDepartures.contains(upstream)
                && !evacuatedDomains.contains(upstream.description().failureDomain());
    }

    /**
     * Sets whether peers that know the store better report that an upstream is leaving or gone.
     *
     * @param upstream the upstream
     * @param isReported true to send it no new requests, false to go by its entry
     */
    public void setDepartureReported(Upstream upstream, boolean isReported) {
        if (isReported) {
            reportedDepartures.add(upstream);
        } else {
            reportedDepartures.remove(upstream);
        }
    }

    /**
     * Returns the upstreams whose entries say that they leave or were removed lately, and of which peers aren't told
     * because the upstreams said so themselves.
     *
     * @param now the current time
     * @return a limited number of them, the newest one first
     */
    public List<UpstreamLifetime> recentDepartures(MonotonicTime now) {
        return departures.newest(lifetime -> !hasAnnouncedLeaving(lifetime), now);
    }

    private boolean hasAnnouncedLeaving(UpstreamLifetime lifetime) {
        Upstream found = upstreams.get(lifetime.upstream().value());
        return found != null && found.lifetime().equals(lifetime) && found.hasAnnouncedLeaving();
    }

    private void end(Upstream ended) {
        reportedDepartures.remove(ended);
        if (ended.markEnded()) {
            onUnexpectedEnd.accept(ended);
        }
    }

    private static boolean isSameLifetime(UpstreamDescription known, UpstreamDescription description) {
        return known.startedMilliseconds() == description.startedMilliseconds()
                && known.address().equals(description.address())
                && known.service().equals(description.service())
                && known.softwareVersion().equals(description.softwareVersion());
    }

    /**
     * Returns how often a lifetime has been added, replaced or removed.
     *
     * @return the count
     */
    public long lifetimeChanges() {
        return lifetimeChanges;
    }

    /**
     * Removes an upstream that is no longer registered.
     *
     * @param identifier its identifier
     * @param reason why it is removed, for the log
     * @param now the current time
     */
    public void remove(String identifier, String reason, MonotonicTime now) {
        Upstream removed = upstreams.remove(identifier);
        if (removed != null) {
            lifetimeChanges++;
            removeFromService(removed);
            end(removed);
            byTag.remove(removed.tag(), removed);
            departures.recordRemoval(removed.lifetime(), now);
            LOG.event("upstream_gone", "upstream", identifier, "reason", reason);
        }
    }

    private void removeFromService(Upstream upstream) {
        byService.get(upstream.description().service()).remove(upstream);
    }

    /**
     * Finds an upstream.
     *
     * @param identifier its identifier
     * @return the upstream, or empty if it is not registered
     */
    public Optional<Upstream> find(String identifier) {
        return Optional.ofNullable(upstreams.get(identifier));
    }

    /**
     * Returns whether a particular lifetime of an upstream is registered.
     *
     * @param lifetime the lifetime
     * @return false if this VM knows that the lifetime has ended
     */
    public boolean contains(UpstreamLifetime lifetime) {
        Upstream found = upstreams.get(lifetime.upstream().value());
        return found != null && found.description().startedMilliseconds() == lifetime.startedMilliseconds();
    }

    /**
     * Finds an upstream by its tag.
     *
     * @param tag the number that represents its identifier in messages between VMs
     * @return the upstream, or empty if none has this tag
     */
    public Optional<Upstream> findByTag(int tag) {
        return Optional.ofNullable(byTag.get(tag));
    }

    /**
     * Returns all registered upstreams.
     *
     * @return the upstreams in the order of their registration
     */
    public Collection<Upstream> all() {
        return upstreams.values();
    }

    /**
     * Returns the upstreams of a service that may receive new requests.
     *
     * @param service the service's name
     * @return the upstreams
     */
    public Stream<Upstream> usable(String service) {
        return byService.getOrDefault(service, Set.of()).stream().filter(this::isUsable);
    }

    /**
     * Counts the upstreams of a service that may receive new requests and have loaded a model.
     *
     * @param service the service's name
     * @param model the model; empty to count upstreams regardless of their models
     * @param excluded upstreams that are not counted
     * @return the number of upstreams
     */
    public int countWithModel(String service, String model, Set<UpstreamName> excluded) {
        return (int) usable(service)
                .filter(upstream -> model.isEmpty() || upstream.hasLoaded(model, ""))
                .filter(upstream -> !excluded.contains(
                        UpstreamName.of(upstream.description().identifier())))
                .count();
    }
}
