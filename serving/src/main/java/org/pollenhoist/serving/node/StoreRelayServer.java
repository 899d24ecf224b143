package org.pollenhoist.serving.node;

import com.google.protobuf.ByteString;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.http.CallerResponse;
import org.pollenhoist.serving.store.StoreChanges;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StoreMirror;
import org.pollenhoist.serving.store.StoreRevision;
import org.pollenhoist.vm.generated.RelayedItem;
import org.pollenhoist.vm.generated.RelayedRemoval;
import org.pollenhoist.vm.generated.StoreRelay;

/**
 * Answers peers that ask for the contents of the store. Few large relays are sent at once, so that each is soon whole
 * and its receiver can pass it on; the peers that are refused ask another VM or come back. Confined to the event loop.
 */
final class StoreRelayServer {

    static final String PATH = "/relay";
    static final String AFTER = "after";
    static final String ERA = "era";

    /** Names the compression that the peer can read; earlier builds name none. */
    static final String COMPRESSION = "compression";

    /** Size up to which a relay is sent whatever else is on its way, in bytes. */
    static final int SMALL_BYTES = 16 << 10;

    /** Bytes of relays that may be on their way at once; a larger relay is sent alone. */
    static final int MAXIMUM_BYTES_AT_ONCE = 256 << 10;

    /** Size from which a relay is compressed, in bytes. */
    private static final int MINIMUM_COMPRESSED_BYTES = 1 << 10;

    /** How long a compressed relay is sent to further peers: the VMs of a failure domain ask for the same at once. */
    private static final Duration REUSE_PERIOD = Duration.ofMillis(250);

    private static final int OK = 200;
    private static final int BUSY = 503;

    /**
     * A relay as it is sent.
     *
     * @param bytes the message, compressed or not
     * @param isCompressed whether it is
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Relay(byte[] bytes, boolean isCompressed) {}

    private record Compressed(StoreRevision after, StoreRevision revision, Relay relay, MonotonicTime at) {}

    private final StoreMirror mirror;
    private final Supplier<MonotonicTime> clock;
    private Optional<Compressed> latest = Optional.empty();
    private long bytesOnTheirWay;
    private long sentBytes;
    private long refusals;

    StoreRelayServer(StoreMirror mirror, Supplier<MonotonicTime> clock) {
        this.mirror = mirror;
        this.clock = clock;
    }

    /**
     * Registers the metrics.
     *
     * @param registry the registry of this process
     */
    void register(PrometheusRegistry registry) {
        GaugeWithCallback.builder()
                .name("pollenhoist_relay_bytes_on_their_way")
                .help("Bytes of relays to peers that have not been written to their connections yet.")
                .callback(gauge -> gauge.call((double) bytesOnTheirWay))
                .register(registry);
        CounterWithCallback.builder()
                .name("pollenhoist_relay_sent_bytes_total")
                .help("Bytes of relays to peers, as sent.")
                .callback(counter -> counter.call((double) sentBytes))
                .register(registry);
        CounterWithCallback.builder()
                .name("pollenhoist_relay_refusals_total")
                .help("Relay requests of peers that were refused since other relays were being sent.")
                .callback(counter -> counter.call((double) refusals))
                .register(registry);
    }

    /**
     * Responds to a relay request.
     *
     * @param uri the path and query of the request
     * @param response receives the relay, or a refusal while others are being sent
     */
    void respond(String uri, CallerResponse response) {
        Optional<Relay> begun = begin(uri);
        if (begun.isEmpty()) {
            response.sendFull(BUSY, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
            return;
        }
        Relay relay = begun.get();
        response.begin(OK, headers(relay));
        response.sendChunk(Unpooled.wrappedBuffer(relay.bytes()));
        response.endThen(() -> end(relay));
    }

    /**
     * Decides whether a relay request is answered now.
     *
     * @param uri the path and query of the request
     * @return the relay, which counts as on its way until {@link #end}; empty if others have to be sent first
     */
    Optional<Relay> begin(String uri) {
        Map<String, List<String>> query = new QueryStringDecoder(uri).parameters();
        boolean mayCompress = RelayCompression.NAME.equals(text(query, COMPRESSION));
        Optional<Relay> relay =
                relay(knownRevision(query), mayCompress).filter(ready -> hasRoomFor(ready.bytes().length));
        if (relay.isEmpty()) {
            refusals++;
        }
        relay.ifPresent(begun -> {
            bytesOnTheirWay += begun.bytes().length;
            sentBytes += begun.bytes().length;
        });
        return relay;
    }

    private boolean hasRoomFor(int bytes) {
        return bytes <= SMALL_BYTES || bytesOnTheirWay == 0 || bytesOnTheirWay + bytes <= MAXIMUM_BYTES_AT_ONCE;
    }

    /** Records that a relay has been sent, or can't be any more. */
    void end(Relay relay) {
        bytesOnTheirWay -= relay.bytes().length;
    }

    /** Returns the headers of the response with a relay. */
    static HttpHeaders headers(Relay relay) {
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        if (relay.isCompressed()) {
            headers.set(HttpHeaderNames.CONTENT_ENCODING, HttpHeaderValues.GZIP);
        }
        return headers;
    }

    /** Returns a relay, empty if there is certainly no room for it, so that its compression would be in vain. */
    private Optional<Relay> relay(StoreRevision after, boolean mayCompress) {
        MonotonicTime now = clock.get();
        Optional<Relay> reused = latest.filter(known -> mayCompress && isReusable(known, after, now))
                .map(Compressed::relay);
        return reused.isPresent() ? reused : compose(after, mayCompress, now);
    }

    private boolean isReusable(Compressed known, StoreRevision after, MonotonicTime now) {
        return known.after().equals(after)
                && known.revision().equals(mirror.revision())
                && now.since(known.at()).compareTo(REUSE_PERIOD) < 0;
    }

    private Optional<Relay> compose(StoreRevision after, boolean mayCompress, MonotonicTime now) {
        byte[] plain = changesAfter(after, now).toByteArray();
        if (!mayCompress || plain.length < MINIMUM_COMPRESSED_BYTES) {
            return Optional.of(new Relay(plain, false));
        }
        if (plain.length > SMALL_BYTES && bytesOnTheirWay >= MAXIMUM_BYTES_AT_ONCE) {
            return Optional.empty();
        }
        Relay compressed = new Relay(RelayCompression.compress(plain), true);
        latest = Optional.of(new Compressed(after, mirror.revision(), compressed, now));
        return Optional.of(compressed);
    }

    /** Returns what this VM answers to a relay request. Records of streams are read at the start of a VM only. */
    private StoreRelay changesAfter(StoreRevision known, MonotonicTime now) {
        return toMessage(mirror.changesAfter(known, now).without(StreamRecords::isRecord));
    }

    private StoreRevision knownRevision(Map<String, List<String>> query) {
        // Earlier builds name no era. They compare revisions by number, so the numbers of this VM's era suit them best.
        long era = number(query, ERA).orElse(mirror.revision().era());
        return new StoreRevision(era, number(query, AFTER).orElse(0));
    }

    private static OptionalLong number(Map<String, List<String>> query, String parameter) {
        String text = text(query, parameter);
        return text.matches("\\d{1,18}") ? OptionalLong.of(Long.parseLong(text)) : OptionalLong.empty();
    }

    private static String text(Map<String, List<String>> query, String parameter) {
        return query.getOrDefault(parameter, List.of("")).get(0);
    }

    static StoreRelay toMessage(StoreChanges changes) {
        StoreRelay.Builder relay = StoreRelay.newBuilder()
                .setRevision(changes.revision().number())
                .setEra(changes.revision().era())
                .setIsWhole(changes.isSnapshot())
                .setMillisecondsSinceReturn((int)
                        Math.min(Integer.MAX_VALUE, changes.sinceStoreRecovery().toMillis()));
        for (StoreItem item : changes.items()) {
            relay.addItems(RelayedItem.newBuilder()
                    .setKey(item.key())
                    .setValue(ByteString.copyFrom(item.value()))
                    .setRevision(item.revision().number()));
        }
        changes.removals()
                .forEach(removal -> relay.addRemovals(RelayedRemoval.newBuilder()
                        .setKey(removal.key())
                        .setRevision(removal.revision().number())));
        return relay.build();
    }
}
