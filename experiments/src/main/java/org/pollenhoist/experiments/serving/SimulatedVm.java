package org.pollenhoist.experiments.serving;

import java.util.Map;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.placement.DemandTracker;
import org.pollenhoist.serving.request.RequestQueue;
import org.pollenhoist.serving.routing.PrefillRateEstimator;
import org.pollenhoist.serving.routing.PromptLengthTracker;
import org.pollenhoist.serving.routing.UpstreamSelector;
import org.pollenhoist.serving.upstream.UpstreamTable;

/** What one entry VM knows and decides with. */
final class SimulatedVm {

    final String name;
    final String domain;
    final UpstreamTable upstreams = new UpstreamTable();
    final PrefillRateEstimator pace = new PrefillRateEstimator();
    final PromptLengthTracker promptSizes = new PromptLengthTracker();
    final RequestQueue queue = new RequestQueue();
    final DemandTracker demand = new DemandTracker();
    final UpstreamSelector selector;

    SimulatedVm(String name, String domain) {
        this.name = name;
        this.domain = domain;
        this.selector = new UpstreamSelector(domain, pace);
    }

    /** Takes a peer's digest in: what runs from there at each upstream. */
    void hear(SimulatedVm peer, MonotonicTime now) {
        upstreams
                .all()
                .forEach(upstream -> peer.upstreams
                        .find(upstream.description().identifier())
                        .ifPresent(theirs -> upstream.updatePeerLoad(peer.name, theirs.ownLoad(now))));
    }

    /** Takes over what the ordering VM says that an engine holds and loads. */
    void hearHoldings(SimulatedVm ordering, String engine) {
        ordering.upstreams
                .find(engine)
                .ifPresent(theirs -> upstreams.find(engine).ifPresent(own -> {
                    own.replaceResidentModels(Map.copyOf(theirs.residentModels()));
                    own.setLoadingModels(Map.copyOf(theirs.loadingModels()));
                }));
    }
}
