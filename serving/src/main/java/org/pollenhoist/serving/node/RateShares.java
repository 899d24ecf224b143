package org.pollenhoist.serving.node;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.limit.RequestRateShare;
import org.pollenhoist.serving.peer.PeerExchange;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamTable;

/**
 * Keeps this VM's shares of the request rates that upstreams accept up to date. In a large fleet, the VMs of an
 * upstream's failure domain divide its limit among them, since only these know which of them are alive. Confined to the
 * event loop.
 */
final class RateShares {

    /** Time without a digest after which a peer no longer counts as holder of a share. */
    private static final Duration HOLDER_TIMEOUT = Duration.ofMillis(1_200);

    private final String vm;
    private final String failureDomain;
    private final UpstreamTable upstreams;
    private final PeerExchange peers;
    private final DigestExchange digests;

    RateShares(String vm, String failureDomain, UpstreamTable upstreams, PeerExchange peers, DigestExchange digests) {
        this.vm = vm;
        this.failureDomain = failureDomain;
        this.upstreams = upstreams;
        this.peers = peers;
        this.digests = digests;
    }

    /**
     * Registers metrics of the limits.
     *
     * @param registry the registry
     * @param clock reads the current time
     */
    void register(PrometheusRegistry registry, Supplier<MonotonicTime> clock) {
        GaugeWithCallback.builder()
                .name("pollenhoist_upstream_rate_limit")
                .help("Requests per second that an upstream accepts from all VMs together.")
                .labelNames("upstream")
                .callback(gauge -> upstreams
                        .all()
                        .forEach(upstream -> upstream.rateLimit()
                                .limitPerSecond(clock.get())
                                .ifPresent(limit ->
                                        gauge.call(limit, upstream.description().identifier()))))
                .register(registry);
        GaugeWithCallback.builder()
                .name("pollenhoist_upstream_rate_limit_age_seconds")
                .help("Time since any VM observed the rate limit of an upstream.")
                .labelNames("upstream")
                .callback(gauge -> upstreams
                        .all()
                        .forEach(upstream -> upstream.rateLimit()
                                .observedAt(clock.get())
                                .ifPresent(at -> gauge.call(
                                        clock.get().secondsSince(at),
                                        upstream.description().identifier()))))
                .register(registry);
    }

    /**
     * Updates the shares.
     *
     * @param isStopping whether a planned stop of this VM has begun, so that the others divide the limits
     * @param now the current time
     */
    void update(boolean isStopping, MonotonicTime now) {
        updateRejectionLimits(now);
        for (Upstream upstream : upstreams.all()) {
            upstream.rateLimit().limitPerSecond(now).ifPresent(limit -> {
                boolean mayHoldShare = !isStopping && isDividedHere(upstream);
                double share = mayHoldShare ? share(upstream, limit, now) : 0;
                upstream.rateLimit().setShare(share, now);
            });
        }
    }

    private void updateRejectionLimits(MonotonicTime now) {
        int vms = peers.peerNames().size() + 1;
        Map<String, Double> lowestOfService = new HashMap<>();
        upstreams
                .all()
                .forEach(upstream -> upstream.rejectionLimit()
                        .statedPerSecond(now)
                        .ifPresent(stated ->
                                lowestOfService.merge(upstream.description().service(), stated, Math::min)));
        for (Upstream upstream : upstreams.all()) {
            Optional<Double> ofService = Optional.ofNullable(
                    lowestOfService.get(upstream.description().service()));
            int running = upstream.ownLoad(now).running();
            upstream.rejectionLimit()
                    .update(ofService, running, upstream.description().slots(), vms, now);
        }
    }

    private double share(Upstream upstream, double limitPerSecond, MonotonicTime now) {
        // While an upstream is cold, a share counts until its holder is no longer registered: a VM that is cut off from
        // its peers may still reach the upstream, and what dead VMs leave unused lasts for seconds only.
        Collection<String> others =
                upstream.rateLimit().isCold(now) ? registeredPeers() : digests.activePeers(HOLDER_TIMEOUT, now);
        return RequestRateShare.of(upstream.description().identifier(), limitPerSecond, vm, others);
    }

    private Collection<String> registeredPeers() {
        return digests.isFullMesh() ? peers.peerNames() : peers.peerNamesIn(failureDomain);
    }

    private boolean isDividedHere(Upstream upstream) {
        String domain = upstream.description().failureDomain();
        boolean hasOwnVms = domain.equals(failureDomain) || peers.countPeersIn(domain) > 0;
        return digests.isFullMesh()
                || domain.equals(failureDomain)
                || (!hasOwnVms && peers.isFirstFailureDomain(failureDomain));
    }
}
