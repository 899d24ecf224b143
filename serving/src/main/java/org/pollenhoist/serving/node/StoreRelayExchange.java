package org.pollenhoist.serving.node;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.http.CallerAnswer;
import org.pollenhoist.serving.http.HttpCalls;
import org.pollenhoist.serving.http.Target;
import org.pollenhoist.serving.peer.PeerExchange;
import org.pollenhoist.serving.peer.PeerReport;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StoreMirror;
import org.pollenhoist.vm.generated.RelayedItem;
import org.pollenhoist.vm.generated.StoreRelay;

/**
 * Passes what the store holds from VMs that reach it to VMs that don't, so that configurations, withdrawn keys and
 * leaving upstreams are known there as well. Confined to the event loop.
 */
final class StoreRelayExchange {

    static final String PATH = "/relay";

    private static final DecisionLog LOG = DecisionLog.of("store");
    private static final int OK = 200;

    /** How long a peer has to be ahead before it is asked; a watch brings changes within milliseconds otherwise. */
    private static final Duration PATIENCE = Duration.ofMillis(450);

    private final HttpCalls calls;
    private final PeerExchange peers;
    private final StoreMirror mirror;
    private MonotonicTime behindSince;

    StoreRelayExchange(HttpCalls calls, PeerExchange peers, StoreMirror mirror, MonotonicTime now) {
        this.calls = calls;
        this.peers = peers;
        this.mirror = mirror;
        this.behindSince = now;
    }

    void answer(CallerAnswer answer) {
        StoreRelay.Builder relay = StoreRelay.newBuilder().setRevision(mirror.revision());
        for (StoreItem item : mirror.items()) {
            relay.addItems(RelayedItem.newBuilder()
                    .setKey(item.key())
                    .setValue(ByteString.copyFrom(item.value()))
                    .setRevision(item.revision()));
        }
        byte[] body = relay.build().toByteArray();
        answer.sendWhole(OK, new DefaultHttpHeaders(), Unpooled.wrappedBuffer(body));
    }

    /** Asks a peer that has heard more of the store for a while. */
    void tick(MonotonicTime now) {
        Optional<PeerReport> ahead = peers.heard(now).stream()
                .filter(report -> report.digest().getStoreRevision() > mirror.revision())
                .max(Comparator.comparingLong(report -> report.digest().getStoreRevision()));
        if (ahead.isEmpty()) {
            behindSince = now;
        } else if (now.since(behindSince).compareTo(PATIENCE) >= 0) {
            behindSince = now;
            DefaultFullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, PATH, Unpooled.EMPTY_BUFFER);
            calls.call(new Target(ahead.get().address(), "peer"), request, PATIENCE, this::received);
        }
    }

    private void received(HttpCalls.Result result) {
        if (!(result instanceof HttpCalls.Result.Answered answered) || answered.status() != OK) {
            LOG.event("relay_failed", "reason", result);
            return;
        }
        try {
            StoreRelay relay = StoreRelay.parseFrom(answered.body());
            mirror.adopt(
                    relay.getItemsList().stream()
                            .map(item -> new StoreItem(
                                    item.getKey(), item.getValue().toByteArray(), item.getRevision(), false))
                            .toList(),
                    relay.getRevision());
        } catch (InvalidProtocolBufferException malformed) {
            LOG.event("relay_failed", "reason", malformed.getMessage());
        }
    }
}
