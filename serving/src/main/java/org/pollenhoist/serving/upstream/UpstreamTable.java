package org.pollenhoist.serving.upstream;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.request.UpstreamLifetime;

/** All upstreams that register themselves, by identifier. Confined to the event loop. */
public final class UpstreamTable {

    private static final DecisionLog LOG = DecisionLog.of("upstream");

    private final Map<String, Upstream> upstreams = new LinkedHashMap<>();
    private final Map<Integer, Upstream> byTag = new HashMap<>();
    private final Consumer<Upstream> onUnplannedEnd;

    /** Creates an empty table. */
    public UpstreamTable() {
        this(upstream -> {});
    }

    /**
     * Creates an empty table.
     *
     * @param onUnplannedEnd is told an upstream that has ended though it did not say that it leaves
     */
    public UpstreamTable(Consumer<Upstream> onUnplannedEnd) {
        this.onUnplannedEnd = onUnplannedEnd;
    }

    /**
     * Takes an upstream's description in. A new lifetime starts anew: its load and its memory are empty.
     *
     * @param description the description
     * @param now the present time
     */
    public void put(UpstreamDescription description, MonotonicTime now) {
        Upstream known = upstreams.get(description.identifier());
        if (known != null && isSameLifetime(known.description(), description)) {
            if (!known.description().isLeaving() && description.isLeaving()) {
                LOG.event("upstream_leaving", "upstream", description.identifier());
            }
            known.describe(description);
            return;
        }
        if (known != null) {
            end(known);
        }
        Upstream joined = new Upstream(description, now);
        upstreams.put(description.identifier(), joined);
        byTag.put(joined.tag(), joined);
        LOG.event(
                "upstream_joined",
                "upstream",
                description.identifier(),
                "service",
                description.service(),
                "address",
                description.address(),
                "models",
                description.models().size());
    }

    private void end(Upstream ended) {
        if (ended.markEnded()) {
            onUnplannedEnd.accept(ended);
        }
    }

    private static boolean isSameLifetime(UpstreamDescription known, UpstreamDescription description) {
        return known.startedMilliseconds() == description.startedMilliseconds()
                && known.address().equals(description.address())
                && known.service().equals(description.service());
    }

    /**
     * Takes out an upstream that is no longer registered.
     *
     * @param identifier its identifier
     * @param reason why, for the log
     */
    public void remove(String identifier, String reason) {
        Upstream removed = upstreams.remove(identifier);
        if (removed != null) {
            end(removed);
            byTag.remove(removed.tag(), removed);
            LOG.event("upstream_gone", "upstream", identifier, "reason", reason);
        }
    }

    /**
     * Finds an upstream.
     *
     * @param identifier its identifier
     * @return the upstream, or empty
     */
    public Optional<Upstream> find(String identifier) {
        return Optional.ofNullable(upstreams.get(identifier));
    }

    /**
     * Tells whether an upstream is registered in a lifetime.
     *
     * @param lifetime the lifetime
     * @return false where it has ended, as far as is known here
     */
    public boolean contains(UpstreamLifetime lifetime) {
        Upstream found = upstreams.get(lifetime.upstream().value());
        return found != null && found.description().startedMilliseconds() == lifetime.startedMilliseconds();
    }

    /**
     * Finds an upstream by its short number.
     *
     * @param tag the number that stands for its identifier
     * @return the upstream, or empty
     */
    public Optional<Upstream> findByTag(int tag) {
        return Optional.ofNullable(byTag.get(tag));
    }

    /**
     * Returns all upstreams.
     *
     * @return the upstreams in the order in which they came
     */
    public Collection<Upstream> all() {
        return upstreams.values();
    }

    /**
     * Returns the upstreams of a service that may get new work.
     *
     * @param service the service's name
     * @return the upstreams
     */
    public Stream<Upstream> usable(String service) {
        return upstreams.values().stream()
                .filter(upstream ->
                        upstream.isUsable() && upstream.description().service().equals(service));
    }

    /**
     * Counts the upstreams of a service that may get new work and hold a model.
     *
     * @param service the service's name
     * @param model the model, empty where any upstream will do
     * @param without upstreams that do not count
     * @return the number of the others
     */
    public int countWithModel(String service, String model, Set<UpstreamName> without) {
        return (int) usable(service)
                .filter(upstream -> model.isEmpty() || upstream.hasLoaded(model, ""))
                .filter(upstream ->
                        !without.contains(UpstreamName.of(upstream.description().identifier())))
                .count();
    }
}
