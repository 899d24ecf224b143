package org.pollenhoist.serving.node;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.http.BufferedHttpClient;
import org.pollenhoist.serving.http.CallerResponse;
import org.pollenhoist.serving.http.Target;
import org.pollenhoist.serving.peer.PeerExchange;
import org.pollenhoist.serving.peer.PeerReport;
import org.pollenhoist.serving.store.StoreChanges;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StoreMirror;
import org.pollenhoist.vm.generated.RelayedItem;
import org.pollenhoist.vm.generated.RelayedRemoval;
import org.pollenhoist.vm.generated.StoreRelay;

/**
 * Passes what the store holds from VMs that follow it to VMs that don't, or that do not reach it, so that
 * configurations, withdrawn keys and leaving upstreams are known there as well. Confined to the event loop.
 */
final class StoreRelayExchange {

    static final String PATH = "/relay";

    private static final String AFTER = "after";
    private static final DecisionLog LOG = DecisionLog.of("store");
    private static final int OK = 200;

    /** How long a peer may take to answer. */
    private static final Duration TIMEOUT = Duration.ofMillis(450);

    /**
     * How long a peer has to be ahead before a VM that follows the store itself asks it; a watch brings changes within
     * milliseconds otherwise.
     */
    private static final Duration PATIENCE = Duration.ofMillis(450);

    /** A VM that is behind its peers for so long follows the store itself, since what they tell does not come. */
    private static final Duration LONGEST_LAG = Duration.ofMillis(900);

    private final BufferedHttpClient calls;
    private final PeerExchange peers;
    private final StoreMirror mirror;
    private final Supplier<MonotonicTime> clock;
    private MonotonicTime behindSince;
    private boolean isAsking;

    StoreRelayExchange(
            BufferedHttpClient calls, PeerExchange peers, StoreMirror mirror, Supplier<MonotonicTime> clock) {
        this.calls = calls;
        this.peers = peers;
        this.mirror = mirror;
        this.clock = clock;
        this.behindSince = clock.get();
    }

    void answer(String uri, CallerResponse answer) {
        StoreRelay relay = toMessage(mirror.changesAfter(knownRevision(uri), clock.get()));
        answer.sendFull(OK, new DefaultHttpHeaders(), Unpooled.wrappedBuffer(relay.toByteArray()));
    }

    private static long knownRevision(String uri) {
        Map<String, List<String>> query = new QueryStringDecoder(uri).parameters();
        String text = query.getOrDefault(AFTER, List.of("")).get(0);
        return text.matches("\\d{1,18}") ? Long.parseLong(text) : 0;
    }

    private static StoreRelay toMessage(StoreChanges changes) {
        StoreRelay.Builder relay = StoreRelay.newBuilder()
                .setRevision(changes.revision())
                .setIsWhole(changes.isSnapshot())
                .setMillisecondsSinceReturn((int)
                        Math.min(Integer.MAX_VALUE, changes.sinceStoreRecovery().toMillis()));
        for (StoreItem item : changes.items()) {
            relay.addItems(RelayedItem.newBuilder()
                    .setKey(item.key())
                    .setValue(ByteString.copyFrom(item.value()))
                    .setRevision(item.revision()));
        }
        changes.removals()
                .forEach(removal -> relay.addRemovals(
                        RelayedRemoval.newBuilder().setKey(removal.key()).setRevision(removal.revision())));
        return relay.build();
    }

    private static StoreChanges fromMessage(StoreRelay relay) {
        return new StoreChanges(
                relay.getRevision(),
                relay.getItemsList().stream()
                        .map(item ->
                                new StoreItem(item.getKey(), item.getValue().toByteArray(), item.getRevision(), false))
                        .toList(),
                relay.getRemovalsList().stream()
                        .map(removal -> new StoreItem(removal.getKey(), new byte[0], removal.getRevision(), true))
                        .toList(),
                relay.getIsWhole(),
                Duration.ofMillis(relay.getMillisecondsSinceReturn()));
    }

    /** Asks a peer that has heard more of the store: at once where this VM does not follow the store itself. */
    void tick(boolean isFollowing, MonotonicTime now) {
        Optional<PeerReport> ahead = peers.heard(now).stream()
                .filter(report -> report.digest().getStoreRevision() > mirror.revision())
                .max(Comparator.comparingLong(report -> report.digest().getStoreRevision()));
        if (ahead.isEmpty()) {
            behindSince = now;
            return;
        }
        boolean isDue = !isFollowing || now.since(behindSince).compareTo(PATIENCE) >= 0;
        if (isDue && !isAsking) {
            ask(ahead.get());
        }
    }

    /** Whether peers have been ahead for longer than what they tell may take. */
    boolean isLagging(MonotonicTime now) {
        return now.since(behindSince).compareTo(LONGEST_LAG) >= 0;
    }

    private void ask(PeerReport peer) {
        isAsking = true;
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.GET,
                PATH + '?' + AFTER + '=' + mirror.revision(),
                Unpooled.EMPTY_BUFFER);
        calls.call(new Target(peer.address(), "peer"), request, TIMEOUT, this::received);
    }

    private void received(BufferedHttpClient.Result result) {
        isAsking = false;
        if (!(result instanceof BufferedHttpClient.Result.Completed answered) || answered.status() != OK) {
            LOG.event("relay_failed", "reason", result);
            return;
        }
        try {
            mirror.applyPeerChanges(fromMessage(StoreRelay.parseFrom(answered.body())));
        } catch (InvalidProtocolBufferException malformed) {
            LOG.event("relay_failed", "reason", malformed.getMessage());
        }
    }
}
