package org.pollenhoist.serving.node;

import io.netty.handler.codec.http.HttpResponse;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.catalog.CallerLimits;
import org.pollenhoist.serving.forwarding.DirectPaths;
import org.pollenhoist.serving.forwarding.ForwardingPeers;
import org.pollenhoist.serving.forwarding.ForwardingServer;
import org.pollenhoist.serving.forwarding.UpstreamConnections;
import org.pollenhoist.serving.http.HttpConnectionPool;
import org.pollenhoist.serving.peer.PeerExchange;
import org.pollenhoist.serving.request.RequestFormat;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamNoticeHandler;
import org.pollenhoist.serving.upstream.UpstreamTable;

/**
 * The paths from this VM to upstreams, its own and those through peers, and what this VM sends for peers. Confined to
 * the event loop.
 */
final class RequestForwarding {

    /** Maximum size of the headers that a peer adds to a caller's request, in bytes. */
    private static final int PEER_HEADER_BYTES = 4_096;

    private final Supplier<MonotonicTime> clock;
    private final UpstreamTable upstreams;
    private final UpstreamNoticeHandler notices;
    private final RequestFormat format;
    private final PeerExchange peers;
    private final BooleanSupplier isStopping;
    private final DirectPaths paths;
    private final UpstreamConnections connections;
    private final ForwardingServer server;

    RequestForwarding(
            String failureDomain,
            Supplier<MonotonicTime> clock,
            HttpConnectionPool pool,
            UpstreamTable upstreams,
            UpstreamNoticeHandler notices,
            RequestFormat format,
            PeerExchange peers,
            BooleanSupplier isStopping) {
        this.clock = clock;
        this.upstreams = upstreams;
        this.notices = notices;
        this.format = format;
        this.peers = peers;
        this.isStopping = isStopping;
        paths = new DirectPaths(clock.get());
        connections = new UpstreamConnections(
                pool, clock, paths, new ForwardingPeers(failureDomain), this::candidates, this::onForwardedResponse);
        server = new ForwardingServer(pool, upstreams, format, clock, this::isAccepting, peers::isPeerAddress);
    }

    UpstreamConnections connections() {
        return connections;
    }

    ForwardingServer server() {
        return server;
    }

    /** Returns the limits on requests of peers, which add headers to those of callers. */
    static CallerLimits limits(CallerLimits callers) {
        return new CallerLimits(
                callers.headerBytes() + PEER_HEADER_BYTES,
                callers.bodyBytes(),
                callers.headerTimeout(),
                callers.idleTimeout());
    }

    /** Registers metrics of forwarding. */
    void register(PrometheusRegistry registry) {
        CounterWithCallback.builder()
                .name("pollenhoist_forwarded_requests_total")
                .help("Requests that peers were asked to send to upstreams.")
                .callback(counter -> counter.call((double) connections.forwardedRequests()))
                .register(registry);
        GaugeWithCallback.builder()
                .name("pollenhoist_cut_off")
                .help("1 while this VM does not reach most upstreams itself, otherwise 0.")
                .callback(gauge -> gauge.call(paths.isCutOff() ? 1 : 0))
                .register(registry);
    }

    /** Returns whether this VM sends requests for peers. */
    boolean isAccepting() {
        return !paths.isCutOff() && !isStopping.getAsBoolean();
    }

    private List<ForwardingPeers.Peer> candidates() {
        return peers.recentReports(clock.get()).stream()
                .filter(report -> report.digest().getIsForwarding())
                .map(report -> new ForwardingPeers.Peer(
                        report.digest().getVmName(), report.digest().getFailureDomain(), report.address()))
                .toList();
    }

    private void onForwardedResponse(Upstream upstream, HttpResponse head) {
        notices.handleResponse(upstream.description().identifier(), format.readResponse(head), clock.get());
    }

    /** Ends what peers have asked for whose time is up, and opens a trial connection if one is due. */
    void tick(MonotonicTime now) {
        server.expire(now);
        paths.nextTrial(upstreams.all().stream().map(Upstream::lifetime).toList(), now)
                .flatMap(lifetime -> upstreams.find(lifetime.upstream().value()))
                .filter(Upstream::isUsable)
                .ifPresent(connections::openTrialConnection);
    }
}
