package org.pollenhoist.serving.node;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.peer.PeerExchange;
import org.pollenhoist.serving.peer.PeerReport;
import org.pollenhoist.serving.store.StoreEras;
import org.pollenhoist.serving.store.StoreRevision;

/**
 * Reports in the log and in metrics where this VM's copy of the store stands: whether it lacks what others have, how
 * old its knowledge is, and from whom it has it. Confined to the event loop.
 */
final class StoreStanding {

    /**
     * Age from which this VM's knowledge of the store counts as old. Two watches in a row without a change and the
     * responses to them take less.
     */
    static final Duration MAXIMUM_KNOWLEDGE_AGE = Duration.ofSeconds(4);

    /**
     * Age from which this VM can't tell what is in force: longer than between two watches of a store that has changes,
     * and no longer than a change of a large fleet may take.
     */
    static final Duration MAXIMUM_CONCLUSIVE_AGE = Duration.ofSeconds(3);

    /** How long knowledge has to be recent again until it no longer counts as old. */
    static final Duration SETTLING_TIME = Duration.ofSeconds(1);

    /** Number of watchers that a line names. */
    private static final int MAXIMUM_NAMED_WATCHERS = 4;

    private static final DecisionLog LOG = DecisionLog.of("store");

    private final String failureDomain;
    private final Supplier<StoreRevision> revision;
    private final Supplier<Optional<MonotonicTime>> knownAsOf;
    private final StoreEras eras;
    private final PeerExchange peers;
    private final StoreLag lag = new StoreLag();
    private final Episode oldKnowledge = new Episode(MAXIMUM_KNOWLEDGE_AGE, SETTLING_TIME);
    private MonotonicTime knowledgeAsOf;
    private boolean isWatching = true;

    /**
     * Creates an instance for a VM that knows nothing of the store yet.
     *
     * @param failureDomain the failure domain of this VM
     * @param revision the revision up to which this VM knows the store
     * @param knownAsOf the time at which the store held nothing later than what this VM knows from its own watch
     * @param eras the newest era that was heard of
     * @param peers the peers and their digests
     * @param now the current time
     */
    StoreStanding(
            String failureDomain,
            Supplier<StoreRevision> revision,
            Supplier<Optional<MonotonicTime>> knownAsOf,
            StoreEras eras,
            PeerExchange peers,
            MonotonicTime now) {
        this.failureDomain = failureDomain;
        this.revision = revision;
        this.knownAsOf = knownAsOf;
        this.eras = eras;
        this.peers = peers;
        this.knowledgeAsOf = now;
    }

    /**
     * Registers the metrics.
     *
     * @param registry the registry of this process
     * @param clock reads the current time
     */
    void register(PrometheusRegistry registry, Supplier<MonotonicTime> clock) {
        gauge("pollenhoist_store_knowledge_age_seconds", "Age of what this VM knows of the store.")
                .callback(gauge -> gauge.call(clock.get().secondsSince(knowledgeAsOf)))
                .register(registry);
        gauge("pollenhoist_store_watched", "1 if this VM watches the store itself, 0 if peers relay its changes.")
                .callback(gauge -> gauge.call(isWatching ? 1 : 0))
                .register(registry);
        gauge("pollenhoist_store_behind_seconds", "Time for which this VM has lacked a revision it has heard of.")
                .callback(gauge -> gauge.call(
                        lag.behindSince().map(clock.get()::secondsSince).orElse(0.0)))
                .register(registry);
        gauge("pollenhoist_store_revision", "Revisions of the store: this VM's own and the highest it has heard of.")
                .labelNames("of")
                .callback(gauge -> {
                    gauge.call((double) revision.get().number(), "own");
                    gauge.call((double) highest().number(), "highest");
                })
                .register(registry);
        gauge("pollenhoist_store_era", "Eras of these revisions.")
                .labelNames("of")
                .callback(gauge -> {
                    gauge.call((double) revision.get().era(), "own");
                    gauge.call((double) highest().era(), "highest");
                })
                .register(registry);
        gauge("pollenhoist_store_peers", "Peers with a recent digest by their revision: ahead, level or behind.")
                .labelNames("standing")
                .callback(gauge -> {
                    gauge.call((double) countPeers(clock.get(), 1), "ahead");
                    gauge.call((double) countPeers(clock.get(), 0), "level");
                    gauge.call((double) countPeers(clock.get(), -1), "behind");
                })
                .register(registry);
    }

    private static GaugeWithCallback.Builder gauge(String name, String help) {
        return GaugeWithCallback.builder().name(name).help(help);
    }

    private StoreRevision highest() {
        return lag.newest()
                .map(sighting -> StoreRevision.later(revision.get(), sighting.revision()))
                .orElse(revision.get());
    }

    private long countPeers(MonotonicTime now, int standing) {
        return comparableReports(now)
                .filter(report -> Integer.signum(
                                DigestCodec.storeRevision(report.digest()).compareTo(revision.get()))
                        == standing)
                .count();
    }

    /** Returns the recent reports whose revision names an era, without which it can't be compared. */
    private Stream<PeerReport> comparableReports(MonotonicTime now) {
        return peers.recentReports(now).stream()
                .filter(report -> report.digest().hasStoreEra());
    }

    /**
     * Writes a line if this VM begins or ceases to trail, or if its knowledge becomes old or recent.
     *
     * @param watches whether this VM watches the store itself
     * @param now the current time
     */
    void update(boolean watches, MonotonicTime now) {
        isWatching = watches;
        if (eras.current() > highest().era()) {
            lag.hear(new StoreRevision(eras.current(), 0), "era", now);
        }
        comparableReports(now)
                .forEach(report -> lag.hear(
                        DigestCodec.storeRevision(report.digest()),
                        report.digest().getVmName(),
                        report.receivedAt()));
        knownAsOf.get().ifPresent(this::recordKnowledge);
        if (!watches) {
            watchers().map(PeerReport::receivedAt).forEach(this::recordKnowledge);
        }
        lag.update(revision.get(), now).ifPresent(change -> logLag(change, now));
        oldKnowledge.update(Optional.of(knowledgeAsOf), now).ifPresent(change -> logKnowledge(change, now));
    }

    /**
     * Returns whether what this VM knows of the store is too old to tell what is in force.
     *
     * @param now the current time
     * @return true if it can't tell what has changed in the last {@link #MAXIMUM_CONCLUSIVE_AGE} or longer
     */
    boolean isKnowledgeOld(MonotonicTime now) {
        return now.since(knowledgeAsOf).compareTo(MAXIMUM_CONCLUSIVE_AGE) >= 0;
    }

    private void recordKnowledge(MonotonicTime asOf) {
        if (knowledgeAsOf.isBefore(asOf)) {
            knowledgeAsOf = asOf;
        }
    }

    /** Returns the newest digests, however old, of the VMs of this failure domain that named themselves watchers. */
    private Stream<PeerReport> watchers() {
        return peers.reports().stream()
                .filter(report -> report.digest().getFailureDomain().equals(failureDomain))
                .filter(report ->
                        report.digest().getFollowsStore() && !report.digest().getIsStopping());
    }

    private void logLag(Episode.Change change, MonotonicTime now) {
        switch (change) {
            case Episode.Change.Begun begun ->
                log("store_trailing", List.of("behind_ms", milliseconds(begun.since(), now)), now);
            case Episode.Change.Ended ended ->
                log(
                        "store_caught_up",
                        List.of(
                                "trailed_ms",
                                milliseconds(ended.since(), ended.until()),
                                "level_for_ms",
                                milliseconds(ended.until(), now)),
                        now);
        }
    }

    private void logKnowledge(Episode.Change change, MonotonicTime now) {
        switch (change) {
            case Episode.Change.Begun begun -> log("store_knowledge_old", List.of(), now);
            case Episode.Change.Ended ended ->
                log("store_knowledge_recent", List.of("oldest_ms", milliseconds(ended.since(), ended.until())), now);
        }
    }

    private void log(String event, List<Object> duration, MonotonicTime now) {
        List<Object> fields = new ArrayList<>(List.of("revision", revision.get()));
        lag.newest()
                .ifPresent(newest -> fields.addAll(List.of(
                        "newest",
                        newest.revision(),
                        "source",
                        newest.source(),
                        "source_age_ms",
                        milliseconds(newest.heardAt(), now))));
        fields.addAll(duration);
        fields.addAll(List.of(
                "watches",
                isWatching,
                "knowledge_age_ms",
                milliseconds(knowledgeAsOf, now),
                "watchers",
                watchers()
                        .filter(report -> now.since(report.receivedAt()).compareTo(PeerExchange.REPORT_TIMEOUT) < 0)
                        .count(),
                "watchers_said",
                watchersSaid(now)));
        LOG.event(event, fields.toArray());
    }

    /** Returns the name, the revision and the age of the last digest of those watchers that were heard last. */
    private String watchersSaid(MonotonicTime now) {
        String said = watchers()
                .sorted(Comparator.comparing(PeerReport::receivedAt).reversed())
                .limit(MAXIMUM_NAMED_WATCHERS)
                .map(report -> report.digest().getVmName() + ':' + DigestCodec.storeRevision(report.digest()) + ':'
                        + milliseconds(report.receivedAt(), now) + "ms")
                .collect(Collectors.joining(","));
        return said.isEmpty() ? "none" : said;
    }

    private static long milliseconds(MonotonicTime from, MonotonicTime until) {
        return until.since(from).toMillis();
    }
}
