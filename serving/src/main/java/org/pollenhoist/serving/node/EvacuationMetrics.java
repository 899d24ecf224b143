package org.pollenhoist.serving.node;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.Supplier;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.upstream.UpstreamTable;

/** Shows the progress of evacuations: which failure domains are evacuated, and what still runs there. */
final class EvacuationMetrics {

    private EvacuationMetrics() {}

    /**
     * Registers the metrics.
     *
     * @param registry the registry
     * @param upstreams knows the evacuated failure domains
     * @param clock reads the current time
     */
    static void register(PrometheusRegistry registry, UpstreamTable upstreams, Supplier<MonotonicTime> clock) {
        GaugeWithCallback.builder()
                .name("pollenhoist_evacuation_running_requests")
                .help("Requests of this VM that still run in a failure domain that is being evacuated.")
                .labelNames("failure_domain")
                .callback(gauge -> upstreams
                        .evacuatedDomains()
                        .forEach(domain -> gauge.call(upstreams.runningIn(domain, clock.get()), domain)))
                .register(registry);
    }
}
