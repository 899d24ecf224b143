package org.pollenhoist.serving.node;

import com.google.protobuf.InvalidProtocolBufferException;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.store.Store;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StoreLease;
import org.pollenhoist.serving.store.StoreResult;
import org.pollenhoist.serving.store.StoreRevision;
import org.pollenhoist.serving.stream.StreamKey;
import org.pollenhoist.serving.stream.StreamOrigin;
import org.pollenhoist.serving.stream.StreamRegistry;
import org.pollenhoist.vm.generated.StreamBeginning;
import org.pollenhoist.vm.generated.StreamRecord;

/**
 * Records in the store which software version began the running streams of this process, so that they can go on after
 * all VMs have ended at the same time. Each process has one item, which its successor doesn't replace; a lease that is
 * not renewed removes it when no caller resumes its streams any more. A stream of the last moments may be missing.
 * Nothing is written while each service has one version. Confined to the event loop.
 */
final class StreamRecords {

    private static final DecisionLog LOG = DecisionLog.of("stream");
    private static final String PREFIX = "pollenhoist/streams/";

    /** Age from which a stream is recorded; shorter ones are over before their caller could resume them. */
    private static final Duration MINIMUM_AGE = Duration.ofMillis(100);

    /** Minimum time between two writes of a process. */
    private static final Duration MINIMUM_SPACING = Duration.ofMillis(250);

    /** The same for each VM of the fleet, which limits the writes of all to 200 a second. */
    private static final Duration SPACING_PER_VM = Duration.ofMillis(5);

    /** How long the store keeps items that were written with a lease. */
    private static final Duration LEASE = Duration.ofMinutes(2);

    /** Age of a lease from which items are written with a new one: callers resume streams for up to a minute. */
    private static final Duration MAXIMUM_LEASE_AGE = Duration.ofMinutes(1);

    /** Largest number of streams in one item, some 80 kB. */
    private static final int MAXIMUM_STREAMS = 8_192;

    private record Lease(StoreLease granted, MonotonicTime requestedAt) {}

    private final String key;
    private final Store store;
    private final StreamRegistry registry;
    private Optional<Lease> lease = Optional.empty();
    private Optional<MonotonicTime> writtenAt = Optional.empty();
    private Set<StreamKey> recorded = Set.of();
    private boolean isWriting;
    private long written;
    private long failed;

    /**
     * Creates an instance that has recorded nothing.
     *
     * @param vm the name of this VM
     * @param incarnation distinguishes this process from its predecessors
     * @param store the store
     * @param registry knows the streams
     */
    StreamRecords(String vm, long incarnation, Store store, StreamRegistry registry) {
        this.key = PREFIX + vm + '/' + Long.toHexString(incarnation);
        this.store = store;
        this.registry = registry;
    }

    /** Registers the numbers of writes with the metrics. */
    void register(PrometheusRegistry metrics) {
        CounterWithCallback.builder()
                .name("pollenhoist_stream_record_writes")
                .help("Writes to the store of the streams that began at this VM, by result.")
                .labelNames("result")
                .callback(counter -> {
                    counter.call((double) written, "written");
                    counter.call((double) failed, "failed");
                })
                .register(metrics);
    }

    /** Returns whether a key of the store holds the streams of a process. */
    static boolean isRecord(String key) {
        return key.startsWith(PREFIX);
    }

    /** Groups the beginnings of streams by their origin. */
    static List<StreamBeginning> beginnings(Collection<StreamKey> keys, Map<StreamKey, StreamOrigin> origins) {
        Map<StreamOrigin, StreamBeginning.Builder> byOrigin = new HashMap<>();
        keys.forEach(key -> byOrigin.computeIfAbsent(
                        origins.get(key),
                        origin -> StreamBeginning.newBuilder()
                                .setService(origin.service())
                                .setSoftwareVersion(origin.softwareVersion()))
                .addStreams(key.hash()));
        return byOrigin.values().stream().map(StreamBeginning.Builder::build).toList();
    }

    /** Returns the origins of the streams that a peer or a record names. */
    static Map<StreamKey, StreamOrigin> origins(List<StreamBeginning> beginnings) {
        Map<StreamKey, StreamOrigin> origins = new HashMap<>();
        for (StreamBeginning beginning : beginnings) {
            StreamOrigin origin = new StreamOrigin(beginning.getService(), beginning.getSoftwareVersion());
            beginning.getStreamsList().forEach(hash -> origins.put(new StreamKey(hash), origin));
        }
        return origins;
    }

    /**
     * Applies the record of a process, which is true also if it comes from an older copy of the store: the origin of a
     * stream never changes.
     *
     * @return whether a request waits for one of its streams
     */
    boolean onWritten(StoreItem item, MonotonicTime now) {
        if (item.key().equals(key)) {
            return false;
        }
        try {
            return registry.learn(origins(StreamRecord.parseFrom(item.value()).getBegunList()), now);
        } catch (InvalidProtocolBufferException unreadable) {
            LOG.event("stream_record_unreadable", "key", item.key(), "reason", unreadable.getMessage());
            return false;
        }
    }

    /** Has the running streams written again, because the store has come back from an older copy. */
    void onNewEra() {
        recorded = Set.of();
        lease = Optional.empty();
    }

    /**
     * Writes the running streams if one of them is not recorded yet.
     *
     * @param fleetSize the number of VMs, this one included
     * @param now the current time
     */
    void tick(int fleetSize, MonotonicTime now) {
        Duration shared = SPACING_PER_VM.multipliedBy(fleetSize);
        Duration spacing = shared.compareTo(MINIMUM_SPACING) > 0 ? shared : MINIMUM_SPACING;
        boolean isTooSoon =
                writtenAt.filter(at -> now.since(at).compareTo(spacing) < 0).isPresent();
        if (isWriting || isTooSoon) {
            return;
        }
        Map<StreamKey, StreamOrigin> running = registry.running(MINIMUM_AGE, now);
        if (!recorded.containsAll(running.keySet())) {
            isWriting = true;
            writtenAt = Optional.of(now);
            write(running, now);
        }
    }

    private void write(Map<StreamKey, StreamOrigin> running, MonotonicTime now) {
        lease = lease.filter(known -> now.since(known.requestedAt()).compareTo(MAXIMUM_LEASE_AGE) < 0);
        if (lease.isPresent()) {
            commit(running, lease.get().granted());
            return;
        }
        store.grantLease(LEASE, result -> {
            if (result instanceof StoreResult.Success<StoreLease>(StoreLease granted)) {
                lease = Optional.of(new Lease(granted, now));
                commit(running, granted);
            } else {
                endInFailure(result);
            }
        });
    }

    private void commit(Map<StreamKey, StreamOrigin> running, StoreLease usable) {
        List<StreamKey> newest = running.keySet().stream()
                .skip(Math.max(0, running.size() - MAXIMUM_STREAMS))
                .toList();
        byte[] value = StreamRecord.newBuilder()
                .addAllBegun(beginnings(newest, running))
                .build()
                .toByteArray();
        store.commit(List.of(), List.of(new Store.Write(key, value, Optional.of(usable))), List.of(), result -> {
            if (result instanceof StoreResult.Success<StoreRevision>) {
                isWriting = false;
                written++;
                recorded = running.keySet();
            } else {
                endInFailure(result);
            }
        });
    }

    private void endInFailure(StoreResult<?> result) {
        isWriting = false;
        failed++;
        if (result instanceof StoreResult.Rejected<?>) {
            // The lease may have ended, or the store may have come back from a copy without it.
            lease = Optional.empty();
        }
        LOG.event("stream_record_failed", "key", key, "answer", result);
    }
}
