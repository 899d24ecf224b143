package org.pollenhoist.serving.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.request.UpstreamLifetime;
import org.pollenhoist.serving.http.ConnectionOptions;
import org.pollenhoist.serving.http.ConnectionUse;
import org.pollenhoist.serving.http.ExchangeFailure;
import org.pollenhoist.serving.http.HttpConnectionPool;
import org.pollenhoist.serving.http.ResponseListener;
import org.pollenhoist.serving.http.Target;
import org.pollenhoist.serving.upstream.Upstream;

/**
 * Sends requests to upstreams: over this VM's own connections, or through a peer if no connection can be opened. This
 * VM decides on the request as on any other; the peer only passes it on. A request changes over to another path only
 * while nothing of it has been sent. Confined to the event loop.
 */
public final class UpstreamConnections {

    /** Time to open a connection, many times a round trip; a lost packet is cheaper to answer with another path. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

    /** Maximum number of peers that are asked to send one request. */
    private static final int MAXIMUM_PEERS = 2;

    private static final DecisionLog LOG = DecisionLog.of("request");

    private final HttpConnectionPool pool;
    private final Supplier<MonotonicTime> clock;
    private final DirectPaths paths;
    private final ForwardingPeers peers;
    private final Supplier<Collection<ForwardingPeers.Peer>> candidates;
    private final BiConsumer<Upstream, HttpResponse> onForwardedResponse;
    private long lastRequest;
    private long forwardedRequests;

    /**
     * Creates an instance.
     *
     * @param pool the connections to upstreams and peers
     * @param clock reads the current time
     * @param paths tells which upstreams this VM reaches itself
     * @param peers selects the peers that send requests for this VM
     * @param candidates supplies the peers that send requests for others at present
     * @param onForwardedResponse receives the head of each response that a peer passes on, before its listener
     */
    public UpstreamConnections(
            HttpConnectionPool pool,
            Supplier<MonotonicTime> clock,
            DirectPaths paths,
            ForwardingPeers peers,
            Supplier<Collection<ForwardingPeers.Peer>> candidates,
            BiConsumer<Upstream, HttpResponse> onForwardedResponse) {
        this.pool = pool;
        this.clock = clock;
        this.paths = paths;
        this.peers = peers;
        this.candidates = candidates;
        this.onForwardedResponse = onForwardedResponse;
    }

    /**
     * Sends a request.
     *
     * @param identifier the caller's identifier of the request, for the log
     * @param upstream the upstream
     * @param request creates the request, once for each path that is tried
     * @param isRepeatable whether the request may be repeated; otherwise only recently used connections are reused
     * @param deadline time from which it is no longer sent; the caller of this method ends the exchange then
     * @param listener receives the response
     * @return the exchange, by which the request can be cancelled
     */
    public UpstreamExchange send(
            String identifier,
            Upstream upstream,
            Supplier<FullHttpRequest> request,
            boolean isRepeatable,
            MonotonicTime deadline,
            ResponseListener listener) {
        ConnectionOptions options = options(isRepeatable).startingBefore(deadline);
        Sending sending = new Sending(identifier, upstream, request, isRepeatable, options, listener);
        sending.start(clock.get());
        return sending.exchange;
    }

    /**
     * Opens a trial connection to an upstream, so that the end of a partition is noticed without a request.
     *
     * @param upstream the upstream
     */
    public void openTrialConnection(Upstream upstream) {
        UpstreamLifetime lifetime = upstream.lifetime();
        pool.open(
                target(upstream),
                options(true),
                () -> paths.recordHeard(lifetime, clock.get()),
                failure -> paths.recordFailure(lifetime, isTimeout(failure), clock.get()));
    }

    /**
     * Returns the number of requests that peers were asked to send.
     *
     * @return the number since the start
     */
    public long forwardedRequests() {
        return forwardedRequests;
    }

    private static boolean isTimeout(ExchangeFailure failure) {
        return failure == ExchangeFailure.CONNECT_TIMED_OUT;
    }

    static Target target(Upstream upstream) {
        return new Target(
                upstream.description().address(), upstream.description().identifier());
    }

    static ConnectionOptions options(boolean isRepeatable) {
        ConnectionOptions options = isRepeatable ? ConnectionOptions.ANY_IDLE : ConnectionOptions.RECENTLY_USED;
        return options.withConnectTimeout(CONNECT_TIMEOUT);
    }

    /** One request on its way. */
    private final class Sending {

        private final String identifier;
        private final Upstream upstream;
        private final UpstreamLifetime lifetime;
        private final Supplier<FullHttpRequest> request;
        private final boolean isRepeatable;
        private final ConnectionOptions options;
        private final ResponseListener listener;
        private final UpstreamExchange exchange = new UpstreamExchange();
        private int askedPeers;

        private Sending(
                String identifier,
                Upstream upstream,
                Supplier<FullHttpRequest> request,
                boolean isRepeatable,
                ConnectionOptions options,
                ResponseListener listener) {
            this.identifier = identifier;
            this.upstream = upstream;
            this.lifetime = upstream.lifetime();
            this.request = request;
            this.isRepeatable = isRepeatable;
            this.options = options;
            this.listener = listener;
        }

        private void start(MonotonicTime now) {
            boolean hasOpenConnection =
                    !paths.isHanging() && pool.hasReusable(target(upstream), identifier, options.maximumIdle());
            boolean isDirect = hasOpenConnection || !paths.isDoubtful(lifetime);
            if (isDirect || !tryForward("path_doubtful", now)) {
                sendDirectly(now);
            }
        }

        private void sendDirectly(MonotonicTime now) {
            paths.recordSent(lifetime, now);
            exchange.attach(pool.send(target(upstream), identifier, request.get(), options, new DirectListener(this)));
        }

        /** Asks a peer to send the request, if one can be asked; returns whether it does. */
        private boolean tryForward(String reason, MonotonicTime now) {
            FullHttpRequest forwarded = request.get();
            boolean isPossible = askedPeers < MAXIMUM_PEERS
                    && !forwarded.method().equals(HttpMethod.HEAD)
                    && !exchange.isCancelled()
                    && paths.mayBeReachedByPeer(lifetime, now);
            Optional<ForwardingPeers.Peer> peer =
                    isPossible ? peers.select(candidates.get(), ++lastRequest, now) : Optional.empty();
            if (peer.isEmpty()) {
                forwarded.release();
                return false;
            }
            askedPeers++;
            forwardedRequests++;
            LOG.event(
                    "forward",
                    "request",
                    identifier,
                    "upstream",
                    lifetime.upstream(),
                    "peer",
                    peer.get().name(),
                    "reason",
                    reason);
            forwarded
                    .headers()
                    .set(ForwardingHeaders.UPSTREAM, lifetime.upstream().value());
            forwarded.headers().set(ForwardingHeaders.UPSTREAM_STARTED, lifetime.startedMilliseconds());
            forwarded.headers().set(ForwardingHeaders.REPEATABLE, isRepeatable);
            peers.begin(peer.get());
            Target target = new Target(peer.get().address(), "peer");
            exchange.attach(pool.send(target, forwarded, options, new ForwardedListener(this, peer.get())));
            return true;
        }

        private void failUnsent(String reason) {
            listener.onFailure(ExchangeFailure.NOT_SENT, reason);
        }
    }

    /** Receives the response over a connection of this VM. */
    private final class DirectListener implements ResponseListener {

        private final Sending sending;

        private DirectListener(Sending sending) {
            this.sending = sending;
        }

        @Override
        public boolean onHead(HttpResponse head, ConnectionUse use) {
            paths.recordHeard(sending.lifetime, clock.get());
            return sending.listener.onHead(head, use);
        }

        @Override
        public Optional<Duration> maximumWaitAfterDiscarding() {
            return sending.listener.maximumWaitAfterDiscarding();
        }

        @Override
        public void onBody(ByteBuf chunk) {
            paths.recordHeard(sending.lifetime, clock.get());
            sending.listener.onBody(chunk);
        }

        @Override
        public void onEnd() {
            sending.listener.onEnd();
        }

        @Override
        public void onFailure(ExchangeFailure failure, String reason) {
            if (failure.isSent()) {
                sending.listener.onFailure(failure, reason);
                return;
            }
            MonotonicTime now = clock.get();
            paths.recordFailure(sending.lifetime, isTimeout(failure), now);
            if (!sending.tryForward(reason, now)) {
                sending.failUnsent(reason);
            }
        }
    }

    /** Receives the response that a peer passes on. */
    private final class ForwardedListener implements ResponseListener {

        private final Sending sending;
        private final ForwardingPeers.Peer peer;
        private ForwardingOutcome outcome = ForwardingOutcome.ANSWERED;

        private ForwardedListener(Sending sending, ForwardingPeers.Peer peer) {
            this.sending = sending;
            this.peer = peer;
        }

        @Override
        public boolean onHead(HttpResponse head, ConnectionUse use) {
            // A process without this function answers without an outcome, and has not sent the request.
            outcome = ForwardingOutcome.of(head.headers().get(ForwardingHeaders.OUTCOME, ""))
                    .orElse(ForwardingOutcome.DECLINED);
            if (outcome != ForwardingOutcome.ANSWERED) {
                return true;
            }
            if (head.headers().contains(ForwardingHeaders.EXPLICIT_END, "false", true)) {
                head.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
            }
            ForwardingHeaders.ALL.forEach(head.headers()::remove);
            onForwardedResponse.accept(sending.upstream, head);
            return sending.listener.onHead(head, use);
        }

        @Override
        public void onBody(ByteBuf chunk) {
            if (outcome == ForwardingOutcome.ANSWERED) {
                sending.listener.onBody(chunk);
            }
        }

        @Override
        public void onEnd() {
            peers.end(peer);
            MonotonicTime now = clock.get();
            switch (outcome) {
                case ANSWERED -> sending.listener.onEnd();
                case DECLINED -> tryNextPeer("peer_declined", now);
                case NOT_SENT -> {
                    paths.recordFailureForPeer(sending.lifetime, now);
                    sending.failUnsent("not reached by " + peer.name());
                }
                case NO_ANSWER -> sending.listener.onFailure(ExchangeFailure.NO_ANSWER, "no answer to " + peer.name());
            }
        }

        private void tryNextPeer(String reason, MonotonicTime now) {
            peers.exclude(peer, now);
            if (!sending.tryForward(reason, now)) {
                sending.failUnsent(reason);
            }
        }

        @Override
        public void onFailure(ExchangeFailure failure, String reason) {
            peers.end(peer);
            if (failure.isSent()) {
                // The connection to the peer broke, or the peer passed on that the one to the upstream did.
                sending.listener.onFailure(ExchangeFailure.PATH_LOST, reason);
            } else {
                tryNextPeer(reason, clock.get());
            }
        }
    }
}
