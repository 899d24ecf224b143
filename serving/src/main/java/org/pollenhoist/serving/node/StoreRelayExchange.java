package org.pollenhoist.serving.node;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.http.BufferedHttpClient;
import org.pollenhoist.serving.http.CallerResponse;
import org.pollenhoist.serving.http.ResponseTimeout;
import org.pollenhoist.serving.http.Target;
import org.pollenhoist.serving.peer.PeerExchange;
import org.pollenhoist.serving.peer.PeerReport;
import org.pollenhoist.serving.store.StoreChanges;
import org.pollenhoist.serving.store.StoreEras;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StoreMirror;
import org.pollenhoist.serving.store.StoreRevision;
import org.pollenhoist.vm.generated.RelayedItem;
import org.pollenhoist.vm.generated.RelayedRemoval;
import org.pollenhoist.vm.generated.StoreRelay;
import org.pollenhoist.vm.generated.VmDigest;

/**
 * Relays the contents of the store from VMs that watch it to VMs that do not watch it or cannot reach it, so that
 * configurations, withdrawn keys and leaving upstreams become known there as well. Confined to the event loop.
 */
final class StoreRelayExchange {

    static final String PATH = "/relay";

    private static final String AFTER = "after";
    private static final String ERA = "era";
    private static final DecisionLog LOG = DecisionLog.of("store");
    private static final int OK = 200;

    /** When a relay request to a peer is given up. */
    private static final ResponseTimeout RELAY_TIMEOUT =
            new ResponseTimeout(Duration.ofMillis(450), Duration.ofMillis(450));

    /**
     * How long a peer must have a newer revision before a VM that watches the store itself requests the changes from
     * it. Usually the watch delivers changes within milliseconds.
     */
    private static final Duration FOLLOWER_RELAY_DELAY = Duration.ofMillis(450);

    /**
     * A VM that has been behind its peers for this long watches the store itself, since the relay is evidently not
     * working.
     */
    private static final Duration MAX_LAG = Duration.ofMillis(900);

    /** Calls peers. */
    @FunctionalInterface
    interface Client {

        /**
         * Sends a request.
         *
         * @param target the peer
         * @param request the request, which is released
         * @param timeout when the call is given up
         * @param callback receives the result, exactly once
         */
        void call(
                Target target,
                FullHttpRequest request,
                ResponseTimeout timeout,
                Consumer<BufferedHttpClient.Result> callback);
    }

    private final Client client;
    private final PeerExchange peers;
    private final StoreMirror mirror;
    private final StoreEras eras;
    private final Supplier<MonotonicTime> clock;
    private MonotonicTime behindSince;
    private boolean isRequestPending;

    StoreRelayExchange(
            Client client, PeerExchange peers, StoreMirror mirror, StoreEras eras, Supplier<MonotonicTime> clock) {
        this.client = client;
        this.peers = peers;
        this.mirror = mirror;
        this.eras = eras;
        this.clock = clock;
        this.behindSince = clock.get();
    }

    /** Records the era that a peer's digest names. A peer that does not know the store yet names none. */
    void receive(VmDigest digest) {
        if (digest.hasStoreEra() && digest.getStoreRevision() > 0) {
            eras.observe(digest.getStoreEra(), digest.getVmName());
        }
    }

    void respond(String uri, CallerResponse response) {
        response.sendFull(
                OK,
                new DefaultHttpHeaders(),
                Unpooled.wrappedBuffer(changesFor(uri).toByteArray()));
    }

    /** Returns what this VM answers to a relay request. Records of streams are read at the start of a VM only. */
    StoreRelay changesFor(String uri) {
        return toMessage(mirror.changesAfter(knownRevision(uri), clock.get()).without(StreamRecords::isRecord));
    }

    private StoreRevision knownRevision(String uri) {
        Map<String, List<String>> query = new QueryStringDecoder(uri).parameters();
        // Earlier builds name no era. They compare revisions by number, so the numbers of this VM's era suit them best.
        long era = number(query, ERA).orElse(mirror.revision().era());
        return new StoreRevision(era, number(query, AFTER).orElse(0));
    }

    private static OptionalLong number(Map<String, List<String>> query, String parameter) {
        String text = query.getOrDefault(parameter, List.of("")).get(0);
        return text.matches("\\d{1,18}") ? OptionalLong.of(Long.parseLong(text)) : OptionalLong.empty();
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

    /**
     * Reads what a peer relays.
     *
     * @param knownEra the era that this VM knows, which a relay of an earlier build, that names none, is taken to be of
     */
    static StoreChanges fromMessage(StoreRelay relay, long knownEra) {
        long era = relay.hasEra() ? relay.getEra() : knownEra;
        return new StoreChanges(
                new StoreRevision(era, relay.getRevision()),
                relay.getItemsList().stream()
                        .map(item -> new StoreItem(
                                item.getKey(),
                                item.getValue().toByteArray(),
                                new StoreRevision(era, item.getRevision()),
                                false))
                        .toList(),
                relay.getRemovalsList().stream()
                        .map(removal -> new StoreItem(
                                removal.getKey(), new byte[0], new StoreRevision(era, removal.getRevision()), true))
                        .toList(),
                relay.getIsWhole(),
                Duration.ofMillis(relay.getMillisecondsSinceReturn()));
    }

    /**
     * Requests changes from the peer with the newest revision: immediately if this VM does not watch the store itself,
     * otherwise after a delay.
     */
    void tick(boolean isFollowing, MonotonicTime now) {
        Optional<PeerReport> ahead = furthestAhead(now);
        if (ahead.isEmpty()) {
            behindSince = now;
            return;
        }
        boolean isDue = !isFollowing || now.since(behindSince).compareTo(FOLLOWER_RELAY_DELAY) >= 0;
        if (isDue && !isRequestPending) {
            requestChanges(ahead.get());
        }
    }

    private Optional<PeerReport> furthestAhead(MonotonicTime now) {
        Collection<PeerReport> reports = peers.recentReports(now);
        Optional<PeerReport> ahead = reports.stream()
                .filter(report -> report.digest().hasStoreEra())
                .filter(report -> DigestCodec.storeRevision(report.digest()).isAfter(mirror.revision()))
                .max(Comparator.comparing(report -> DigestCodec.storeRevision(report.digest())));
        return ahead.isPresent() || !isRelyingOnEarlierBuilds(reports, now) ? ahead : furthestOfEarlierBuilds(reports);
    }

    /**
     * Returns whether a recent peer runs an earlier build, whose revisions can't be compared with this VM's, since they
     * name no era. This VM then watches the store itself.
     */
    boolean hasPeersWithoutEra(MonotonicTime now) {
        return peers.recentReports(now).stream()
                .anyMatch(report -> !report.digest().hasStoreEra());
    }

    /**
     * Returns whether all that this VM can hear of the store comes from earlier builds, and their revisions belong to
     * the era that it knows, as far as it can tell.
     */
    private boolean isRelyingOnEarlierBuilds(Collection<PeerReport> reports, MonotonicTime now) {
        return !mirror.isCurrent(now)
                && eras.changes() == 0
                && reports.stream().noneMatch(report -> report.digest().hasStoreEra());
    }

    private Optional<PeerReport> furthestOfEarlierBuilds(Collection<PeerReport> reports) {
        return reports.stream()
                .filter(report ->
                        report.digest().getStoreRevision() > mirror.revision().number())
                .max(Comparator.comparingLong(report -> report.digest().getStoreRevision()));
    }

    /** Returns whether peers have had a newer revision for longer than a relay may take. */
    boolean isLagging(MonotonicTime now) {
        return now.since(behindSince).compareTo(MAX_LAG) >= 0;
    }

    private void requestChanges(PeerReport peer) {
        isRequestPending = true;
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.GET,
                PATH
                        + '?'
                        + AFTER
                        + '='
                        + mirror.revision().number()
                        + '&'
                        + ERA
                        + '='
                        + mirror.revision().era(),
                Unpooled.EMPTY_BUFFER);
        String name = peer.digest().getVmName();
        client.call(new Target(peer.address(), "peer"), request, RELAY_TIMEOUT, result -> received(result, name));
    }

    private void received(BufferedHttpClient.Result result, String peer) {
        isRequestPending = false;
        if (!(result instanceof BufferedHttpClient.Result.Answered completed) || completed.status() != OK) {
            LOG.event("relay_failed", "peer", peer, "revision", mirror.revision(), "reason", result);
            return;
        }
        try {
            mirror.applyPeerChanges(fromMessage(
                    StoreRelay.parseFrom(completed.body()), mirror.revision().era()));
        } catch (InvalidProtocolBufferException malformed) {
            LOG.event("relay_failed", "peer", peer, "revision", mirror.revision(), "reason", malformed.getMessage());
        }
    }
}
