package org.pollenhoist.serving.node;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.peer.PeerExchange;
import org.pollenhoist.serving.peer.PeerReport;
import org.pollenhoist.serving.store.StoreEras;
import org.pollenhoist.serving.store.StoreMirror;
import org.pollenhoist.serving.store.StoreRevision;

/**
 * Decides whether a configuration that this VM lacks may be in force. As long as one may, this VM can't refuse for good
 * what its own configuration doesn't allow: nobody allows it only if there is no newer one. Confined to the event loop.
 *
 * <p>A configuration that was once heard of is lacked until this VM has it, also if those that named it are silent. The
 * digests of earlier builds name none and change nothing.
 */
final class ConfigurationStanding {

    private static final DecisionLog LOG = DecisionLog.of("node");

    private final Supplier<StoreRevision> configurationRevision;
    private final Supplier<StoreRevision> storeRevision;
    private final Predicate<MonotonicTime> isKnowledgeOld;
    private final StoreEras eras;
    private final PeerExchange peers;
    private final StoreLag lag = new StoreLag();

    /**
     * Creates an instance for a VM that has heard of no configuration yet.
     *
     * @param configurationRevision the revision of the newest configuration in the store that this VM has read and that
     *     isn't newer than the one in force here
     * @param storeRevision the revision up to which this VM knows the store
     * @param isKnowledgeOld whether what this VM knows of the store is too old to tell what is in force
     * @param eras the newest era that was heard of
     * @param peers the peers and their digests
     */
    ConfigurationStanding(
            Supplier<StoreRevision> configurationRevision,
            Supplier<StoreRevision> storeRevision,
            Predicate<MonotonicTime> isKnowledgeOld,
            StoreEras eras,
            PeerExchange peers) {
        this.configurationRevision = configurationRevision;
        this.storeRevision = storeRevision;
        this.isKnowledgeOld = isKnowledgeOld;
        this.eras = eras;
        this.peers = peers;
    }

    /** Creates an instance for the process that has the given state and copy of the store. */
    static ConfigurationStanding of(
            FleetState state, StoreMirror mirror, StoreStanding standing, StoreEras eras, PeerExchange peers) {
        return new ConfigurationStanding(
                state::configurationRevision, mirror::revision, standing::isKnowledgeOld, eras, peers);
    }

    /**
     * Registers the metrics.
     *
     * @param registry the registry of this process
     * @param clock reads the current time
     */
    void register(PrometheusRegistry registry, Supplier<MonotonicTime> clock) {
        GaugeWithCallback.builder()
                .name("pollenhoist_configuration_missing")
                .help("1 if a configuration that this VM lacks may be in force, by reason.")
                .labelNames("reason")
                .callback(gauge -> {
                    gauge.call(hasHeardOfNewer() ? 1 : 0, "heard_of_newer");
                    gauge.call(isKnowledgeOld.test(clock.get()) ? 1 : 0, "knowledge_old");
                })
                .register(registry);
    }

    /**
     * Takes in what the peers' recent digests name, and writes a line if this VM begins or ceases to lack a
     * configuration.
     *
     * @param now the current time
     */
    void update(MonotonicTime now) {
        if (eras.current() > storeRevision.get().era()) {
            lag.hear(new StoreRevision(eras.current(), 0), "era", now);
        }
        peers.recentReports(now).forEach(this::hear);
        lag.update(ownRevision(), now).ifPresent(change -> log(change, now));
    }

    private void hear(PeerReport report) {
        DigestCodec.configurationRevision(report.digest())
                .ifPresent(revision -> lag.hear(revision, report.digest().getVmName(), report.receivedAt()));
    }

    /** Returns the revision of this VM's configuration; a VM that has loaded an era knows what the era began with. */
    private StoreRevision ownRevision() {
        StoreRevision beginningOfEra = new StoreRevision(storeRevision.get().era(), 0);
        return StoreRevision.later(configurationRevision.get(), beginningOfEra);
    }

    private boolean hasHeardOfNewer() {
        return lag.newest()
                .filter(sighting -> sighting.revision().isAfter(ownRevision()))
                .isPresent();
    }

    /**
     * Returns whether a configuration that this VM lacks may be in force.
     *
     * @param now the current time
     * @return true if this VM has heard of a newer one, or knows nothing recent of the store
     */
    boolean mayLackConfiguration(MonotonicTime now) {
        return hasHeardOfNewer() || isKnowledgeOld.test(now);
    }

    private void log(Episode.Change change, MonotonicTime now) {
        switch (change) {
            case Episode.Change.Begun begun ->
                log(
                        "configuration_missing",
                        "behind_ms",
                        now.since(begun.since()).toMillis(),
                        now);
            case Episode.Change.Ended ended ->
                log(
                        "configuration_caught_up",
                        "missed_ms",
                        ended.until().since(ended.since()).toMillis(),
                        now);
        }
    }

    private void log(String event, String durationName, long milliseconds, MonotonicTime now) {
        List<Object> fields = new ArrayList<>(List.of("revision", configurationRevision.get()));
        lag.newest()
                .ifPresent(newest -> fields.addAll(List.of(
                        "newest",
                        newest.revision(),
                        "source",
                        newest.source(),
                        "source_age_ms",
                        now.since(newest.heardAt()).toMillis())));
        fields.addAll(List.of(durationName, milliseconds, "store_revision", storeRevision.get()));
        LOG.event(event, fields.toArray());
    }
}
