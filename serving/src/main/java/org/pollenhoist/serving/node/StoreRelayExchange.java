package org.pollenhoist.serving.node;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringEncoder;
import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.http.BufferedHttpClient;
import org.pollenhoist.serving.http.ResponseTimeout;
import org.pollenhoist.serving.http.Target;
import org.pollenhoist.serving.peer.PeerExchange;
import org.pollenhoist.serving.peer.PeerReport;
import org.pollenhoist.serving.store.StoreChanges;
import org.pollenhoist.serving.store.StoreEras;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StoreMirror;
import org.pollenhoist.serving.store.StoreRevision;
import org.pollenhoist.vm.generated.StoreRelay;
import org.pollenhoist.vm.generated.VmDigest;

/**
 * Relays the contents of the store from VMs that watch it to VMs that do not watch it or cannot reach it, so that
 * configurations, withdrawn keys and leaving upstreams become known there as well. Confined to the event loop.
 */
final class StoreRelayExchange {

    private static final DecisionLog LOG = DecisionLog.of("store");
    private static final int OK = 200;
    private static final int BUSY = 503;

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

    /** A VM that has received one relay for this long watches the store itself: the peer's link may be to blame. */
    private static final Duration MAX_TRANSFER = Duration.ofSeconds(3);

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
    private final RelaySources sources;
    private final StoreRelayServer server;
    private MonotonicTime behindSince;
    private Optional<MonotonicTime> requestedAt = Optional.empty();

    StoreRelayExchange(
            Client client,
            PeerExchange peers,
            RelaySources sources,
            StoreMirror mirror,
            StoreEras eras,
            Supplier<MonotonicTime> clock) {
        this.sources = sources;
        this.server = new StoreRelayServer(mirror, clock);
        this.client = client;
        this.peers = peers;
        this.mirror = mirror;
        this.eras = eras;
        this.clock = clock;
        this.behindSince = clock.get();
    }

    /** Creates the exchange of a process with the given settings. */
    static StoreRelayExchange of(
            ServingSettings settings,
            BufferedHttpClient client,
            PeerExchange peers,
            StoreMirror mirror,
            StoreEras eras,
            Supplier<MonotonicTime> clock) {
        RelaySources sources = new RelaySources(settings.failureDomain(), settings.vmName());
        return new StoreRelayExchange(client::call, peers, sources, mirror, eras, clock);
    }

    /** Returns what answers the relay requests of peers. */
    StoreRelayServer server() {
        return server;
    }

    /** Records the era that a peer's digest names. A peer that does not know the store yet names none. */
    void receive(VmDigest digest) {
        if (digest.hasStoreEra() && digest.getStoreRevision() > 0) {
            eras.observe(digest.getStoreEra(), digest.getVmName());
        }
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
     * Requests changes from a peer with a newer revision: immediately if this VM does not watch the store itself,
     * otherwise after a delay.
     */
    void tick(boolean isFollowing, MonotonicTime now) {
        List<PeerReport> ahead = peersAhead(now);
        if (ahead.isEmpty()) {
            behindSince = now;
            return;
        }
        boolean isDue = !isFollowing || now.since(behindSince).compareTo(FOLLOWER_RELAY_DELAY) >= 0;
        if (isDue && requestedAt.isEmpty()) {
            sources.choose(ahead, isBehindFor(MAX_LAG, now), now).ifPresent(peer -> requestChanges(peer, now));
        }
    }

    private List<PeerReport> peersAhead(MonotonicTime now) {
        Collection<PeerReport> reports = peers.recentReports(now);
        List<PeerReport> ahead = reports.stream()
                .filter(report -> report.digest().hasStoreEra())
                .filter(report -> DigestCodec.storeRevision(report.digest()).isAfter(mirror.revision()))
                .toList();
        return ahead.isEmpty() && isRelyingOnEarlierBuilds(reports, now) ? earlierBuildsAhead(reports) : ahead;
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

    private List<PeerReport> earlierBuildsAhead(Collection<PeerReport> reports) {
        return reports.stream()
                .filter(report ->
                        report.digest().getStoreRevision() > mirror.revision().number())
                .toList();
    }

    /**
     * Returns whether peers have had a newer revision for longer than a relay may take, and none is on its way: the
     * bytes of a large one take their time, and a watch of this VM's own would only share its link with them.
     */
    boolean isLagging(MonotonicTime now) {
        boolean isReceiving = requestedAt
                .map(now::since)
                .filter(pending ->
                        pending.compareTo(RELAY_TIMEOUT.beginning()) >= 0 && pending.compareTo(MAX_TRANSFER) < 0)
                .isPresent();
        return isBehindFor(MAX_LAG, now) && !isReceiving;
    }

    private boolean isBehindFor(Duration duration, MonotonicTime now) {
        return now.since(behindSince).compareTo(duration) >= 0;
    }

    private void requestChanges(PeerReport peer, MonotonicTime now) {
        requestedAt = Optional.of(now);
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uriOfChanges(), Unpooled.EMPTY_BUFFER);
        String name = peer.digest().getVmName();
        client.call(new Target(peer.address(), "peer"), request, RELAY_TIMEOUT, result -> received(result, name));
    }

    private String uriOfChanges() {
        QueryStringEncoder uri = new QueryStringEncoder(StoreRelayServer.PATH);
        uri.addParam(StoreRelayServer.AFTER, Long.toString(mirror.revision().number()));
        uri.addParam(StoreRelayServer.ERA, Long.toString(mirror.revision().era()));
        uri.addParam(StoreRelayServer.COMPRESSION, RelayCompression.NAME);
        return uri.toString();
    }

    private void received(BufferedHttpClient.Result result, String peer) {
        requestedAt = Optional.empty();
        switch (result) {
            case BufferedHttpClient.Result.Answered answered when answered.status() == OK -> apply(answered, peer);
            case BufferedHttpClient.Result.Answered answered
            when answered.status() == BUSY -> sources.recordBusy(peer, clock.get());
            case BufferedHttpClient.Result.Answered answered -> fail(peer, "status " + answered.status());
            case BufferedHttpClient.Result.Failed failed -> fail(peer, failed.reason());
        }
    }

    private void apply(BufferedHttpClient.Result.Answered answered, String peer) {
        StoreChanges changes;
        try {
            changes = fromMessage(
                    StoreRelay.parseFrom(content(answered)), mirror.revision().era());
        } catch (IOException malformed) {
            fail(peer, malformed.getMessage());
            return;
        }
        StoreRevision before = mirror.revision();
        mirror.applyPeerChanges(changes);
        if (mirror.revision().isAfter(before)) {
            behindSince = clock.get();
        } else {
            fail(peer, "nothing after " + before);
        }
    }

    private static byte[] content(BufferedHttpClient.Result.Answered answered) throws IOException {
        boolean isCompressed =
                answered.headers().contains(HttpHeaderNames.CONTENT_ENCODING, RelayCompression.NAME, true);
        return isCompressed ? RelayCompression.decompress(answered.body()) : answered.body();
    }

    private void fail(String peer, String reason) {
        sources.recordFailure(peer, clock.get());
        LOG.event("relay_failed", "peer", peer, "revision", mirror.revision(), "reason", reason);
    }
}
