package org.pollenhoist.serving.node;

import com.google.protobuf.InvalidProtocolBufferException;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.peer.PeerExchange;
import org.pollenhoist.serving.placement.Timer;
import org.pollenhoist.serving.store.Store;
import org.pollenhoist.serving.store.StoreEras;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StorePage;
import org.pollenhoist.serving.store.StoreResult;
import org.pollenhoist.serving.store.StoreRevision;
import org.pollenhoist.serving.stream.ServiceVersions;
import org.pollenhoist.serving.stream.StreamKey;
import org.pollenhoist.serving.stream.StreamOrigin;
import org.pollenhoist.serving.stream.StreamRegistry;
import org.pollenhoist.serving.upstream.UpstreamTable;
import org.pollenhoist.vm.generated.ServiceVersionListing;
import org.pollenhoist.vm.generated.StreamExchange;
import org.pollenhoist.vm.generated.VmDigest;

/**
 * Shares with the other VMs which software version began a stream, and keeps the software versions of each service in
 * the store. While a service has several versions, each stream that begins is announced to a few peers, so that it is
 * known if this VM ends, and recorded in the store for the case that all end; a VM that does not know a stream asks all
 * peers. Confined to the event loop.
 */
final class StreamTracking implements StreamRegistry.Announcer {

    private static final DecisionLog LOG = DecisionLog.of("stream");
    private static final String PREFIX = "pollenhoist/versions/";

    /** Number of peers that learn of a stream when it begins. */
    private static final int WITNESSES = 3;

    /** Time in which beginnings are gathered into one announcement. */
    private static final Duration ANNOUNCEMENT_DELAY = Duration.ofMillis(20);

    /** Time in which questions are gathered into one datagram: one broken connection may lead to many. */
    private static final Duration QUESTION_DELAY = Duration.ofMillis(3);

    /** Delay per preceding VM before this VM writes a listing, so that usually one VM does. */
    private static final Duration WRITE_STAGGER = Duration.ofMillis(150);

    /** Largest number of streams in one datagram. */
    private static final int MAXIMUM_STREAMS_PER_DATAGRAM = 100;

    private final String vm;
    private final long incarnation;
    private final Timer timer;
    private final Supplier<MonotonicTime> clock;
    private final PeerExchange peers;
    private final Store store;
    private final Runnable onAnswer;
    private final ServiceVersions versions;
    private final StreamRegistry registry;
    private final StreamRecords records;
    private final Map<String, MonotonicTime> writeDueAt = new HashMap<>();
    private boolean isAnnouncementScheduled;
    private boolean isQuestionScheduled;

    /**
     * Creates an instance that knows of no streams.
     *
     * @param vm the name of this VM
     * @param incarnation distinguishes this process from its predecessors
     * @param timer runs delayed actions
     * @param clock reads the current time
     * @param isFirstStart whether the whole fleet starts for the first time
     * @param upstreams all registered upstreams
     * @param peers the peers
     * @param store the store
     * @param eras knows when the store has come back from an older copy; this instance hears of it before all whose
     *     listeners are added later
     * @param storeKnownAsOf the time at which the store held nothing later than what this VM knows of it
     * @param onAnswer called when a peer or the store has answered a question
     */
    StreamTracking(
            String vm,
            long incarnation,
            Timer timer,
            Supplier<MonotonicTime> clock,
            boolean isFirstStart,
            UpstreamTable upstreams,
            PeerExchange peers,
            Store store,
            StoreEras eras,
            Supplier<Optional<MonotonicTime>> storeKnownAsOf,
            Runnable onAnswer) {
        this.vm = vm;
        this.incarnation = incarnation;
        this.timer = timer;
        this.clock = clock;
        this.peers = peers;
        this.store = store;
        this.onAnswer = onAnswer;
        versions = new ServiceVersions(upstreams, eras::current, isFirstStart);
        registry = new StreamRegistry(versions, storeKnownAsOf, this);
        records = new StreamRecords(vm, incarnation, store, registry);
        eras.onChange(this::onNewEra);
    }

    StreamRegistry registry() {
        return registry;
    }

    /** Registers metrics of streams. */
    void register(PrometheusRegistry metrics) {
        GaugeWithCallback.builder()
                .name("pollenhoist_known_streams")
                .help("Streams whose software version this VM knows.")
                .callback(gauge -> gauge.call(registry.knownStreams()))
                .register(metrics);
        records.register(metrics);
    }

    /** Applies an item of the store if it is about streams or the versions of a service; returns whether it is. */
    boolean onWritten(StoreItem item, MonotonicTime now) {
        if (StreamRecords.isRecord(item.key())) {
            if (records.onWritten(item, now)) {
                onAnswer.run();
            }
            return true;
        }
        if (!item.key().startsWith(PREFIX)) {
            return false;
        }
        String service = item.key().substring(PREFIX.length());
        try {
            ServiceVersions.Listing listing = listing(item);
            versions.onListed(service, listing, now);
            LOG.event(
                    "versions_listed",
                    "service",
                    service,
                    "versions",
                    listing.versions(),
                    "revision",
                    item.revision(),
                    "written_in_era",
                    listing.era().isPresent() ? listing.era().getAsLong() : "unknown");
        } catch (InvalidProtocolBufferException unreadable) {
            versions.onListed(
                    service, new ServiceVersions.Listing(List.of(), item.revision(), OptionalLong.empty()), now);
            LOG.event("versions_unreadable", "service", service, "reason", unreadable.getMessage());
        }
        return true;
    }

    private static ServiceVersions.Listing listing(StoreItem item) throws InvalidProtocolBufferException {
        ServiceVersionListing stored = ServiceVersionListing.parseFrom(item.value());
        OptionalLong era = stored.hasStoreEra() ? OptionalLong.of(stored.getStoreEra()) : OptionalLong.empty();
        return new ServiceVersions.Listing(stored.getSoftwareVersionsList(), item.revision(), era);
    }

    /** Keeps the known versions when the store has come back from an older copy, before its items are applied. */
    private void onNewEra() {
        boolean isRecent = registry.onNewEra(clock.get());
        records.onNewEra();
        LOG.event("versions_unconfirmed", "all_known", isRecent);
    }

    /** Applies the removal of an item of the store if it was about streams or versions; returns whether it was. */
    boolean onRemoved(String key) {
        if (key.startsWith(PREFIX)) {
            versions.onRemoved(key.substring(PREFIX.length()));
        }
        return key.startsWith(PREFIX) || StreamRecords.isRecord(key);
    }

    @Override
    public void onQuestion() {
        if (!isQuestionScheduled) {
            isQuestionScheduled = true;
            timer.schedule(QUESTION_DELAY, () -> {
                isQuestionScheduled = false;
                ask(clock.get());
            });
        }
    }

    @Override
    public void onBeginning() {
        if (!isAnnouncementScheduled) {
            isAnnouncementScheduled = true;
            timer.schedule(ANNOUNCEMENT_DELAY, () -> {
                isAnnouncementScheduled = false;
                announce(clock.get());
            });
        }
    }

    @Override
    public void onReading() {
        MonotonicTime sentAt = clock.get();
        store.list(PREFIX, "", result -> {
            boolean isConfirmed = registry.endReading(sentAt, revisions(result));
            LOG.event(
                    "versions_read",
                    "confirmed",
                    isConfirmed,
                    "after_ms",
                    clock.get().since(sentAt).toMillis(),
                    "failure",
                    result instanceof StoreResult.Success<StorePage> ? "none" : result);
            onAnswer.run();
        });
    }

    private static Optional<Map<String, StoreRevision>> revisions(StoreResult<StorePage> result) {
        if (!(result instanceof StoreResult.Success<StorePage>(StorePage page)) || page.hasMore()) {
            return Optional.empty();
        }
        Map<String, StoreRevision> revisions = new HashMap<>();
        page.items().forEach(item -> revisions.put(item.key().substring(PREFIX.length()), item.revision()));
        return Optional.of(revisions);
    }

    /** Repeats open questions, announces streams of services that have got a further version, and records streams. */
    void tick(MonotonicTime now) {
        ask(now);
        announce(now);
        records.tick(peers.peerNames().size() + 1, now);
    }

    /**
     * Discards old streams and reconciles the listed versions with the store.
     *
     * @param isStoreKnown whether this VM currently knows the contents of the store
     * @param vmIndex number of VMs that write to the store before this one
     * @param now the current time
     */
    void sweep(boolean isStoreKnown, int vmIndex, MonotonicTime now) {
        registry.expire(now);
        versions.update(isStoreKnown, now);
        Map<String, ServiceVersions.Listing> changes = isStoreKnown ? versions.changes(now) : Map.of();
        writeDueAt.keySet().retainAll(changes.keySet());
        changes.forEach((service, listing) -> {
            MonotonicTime due =
                    writeDueAt.computeIfAbsent(service, ignored -> now.plus(WRITE_STAGGER.multipliedBy(vmIndex)));
            if (!now.isBefore(due)) {
                write(service, listing);
            }
        });
    }

    private void write(String service, ServiceVersions.Listing listing) {
        byte[] value = ServiceVersionListing.newBuilder()
                .addAllSoftwareVersions(listing.versions())
                .setStoreEra(listing.era().orElseThrow())
                .build()
                .toByteArray();
        store.commit(
                List.of(new Store.Condition(PREFIX + service, listing.revision())),
                List.of(new Store.Write(PREFIX + service, value, Optional.empty())),
                List.of(),
                result -> LOG.event(
                        "versions_written", "service", service, "versions", listing.versions(), "answer", result));
    }

    private void ask(MonotonicTime now) {
        List<StreamKey> questions = List.copyOf(registry.questions(now));
        for (List<StreamKey> part : parts(questions)) {
            StreamExchange.Builder message = StreamExchange.newBuilder();
            part.forEach(key -> message.addAsked(key.hash()));
            peers.send(datagram(message));
        }
    }

    private void announce(MonotonicTime now) {
        Map<StreamKey, StreamOrigin> begun = registry.takeUnannounced();
        if (begun.isEmpty()) {
            return;
        }
        List<String> witnesses = new ArrayList<>(peers.recentReports(now).stream()
                .map(report -> report.digest().getVmName())
                .toList());
        Collections.shuffle(witnesses);
        List<String> chosen = witnesses.subList(0, Math.min(WITNESSES, witnesses.size()));
        known(begun).forEach(message -> chosen.forEach(witness -> peers.sendTo(datagram(message), witness)));
    }

    private VmDigest datagram(StreamExchange.Builder message) {
        return VmDigest.newBuilder()
                .setVmName(vm)
                .setIncarnation(incarnation)
                .setStreams(message)
                .build();
    }

    /** Applies what a peer asks and tells. */
    void receive(VmDigest datagram) {
        MonotonicTime now = clock.get();
        StreamExchange message = datagram.getStreams();
        Set<StreamKey> asked = new HashSet<>();
        message.getAskedList().forEach(hash -> asked.add(new StreamKey(hash)));
        known(registry.answers(asked, now)).forEach(answer -> peers.sendTo(datagram(answer), datagram.getVmName()));
        if (registry.learn(StreamRecords.origins(message.getKnownList()), now)) {
            onAnswer.run();
        }
    }

    private static List<StreamExchange.Builder> known(Map<StreamKey, StreamOrigin> origins) {
        List<StreamExchange.Builder> messages = new ArrayList<>();
        for (List<StreamKey> part : parts(List.copyOf(origins.keySet()))) {
            messages.add(StreamExchange.newBuilder().addAllKnown(StreamRecords.beginnings(part, origins)));
        }
        return messages;
    }

    private static List<List<StreamKey>> parts(List<StreamKey> keys) {
        List<List<StreamKey>> parts = new ArrayList<>();
        for (int from = 0; from < keys.size(); from += MAXIMUM_STREAMS_PER_DATAGRAM) {
            parts.add(keys.subList(from, Math.min(keys.size(), from + MAXIMUM_STREAMS_PER_DATAGRAM)));
        }
        return parts;
    }
}
