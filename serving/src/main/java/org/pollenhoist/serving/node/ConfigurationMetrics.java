package org.pollenhoist.serving.node;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Optional;
import java.util.function.Supplier;
import org.pollenhoist.common.MonotonicTime;

/** Metrics of the configuration in force and of those that were rejected. Confined to the event loop. */
final class ConfigurationMetrics {

    /** Why a configuration did not come into force. */
    enum Rejection {
        UNREADABLE("unreadable"),
        OLDER("older");

        private final String label;

        Rejection(String label) {
            this.label = label;
        }
    }

    private record InForce(long version, MonotonicTime since) {}

    private final Counter rejections;
    private final Histogram duration;
    private Optional<InForce> inForce = Optional.empty();

    /**
     * Registers the metrics.
     *
     * @param registry the registry of this process
     * @param clock reads the current time
     */
    ConfigurationMetrics(PrometheusRegistry registry, Supplier<MonotonicTime> clock) {
        rejections = Counter.builder()
                .name("pollenhoist_configurations_rejected_total")
                .help("Configurations that did not come into force, by reason.")
                .labelNames("reason")
                .register(registry);
        for (Rejection reason : Rejection.values()) {
            rejections.initLabelValues(reason.label);
        }
        duration = Histogram.builder()
                .name("pollenhoist_configuration_apply_seconds")
                .help("Time that decoding and applying a configuration took on the event loop, in seconds.")
                .classicOnly()
                .register(registry);
        GaugeWithCallback.builder()
                .name("pollenhoist_configuration_version")
                .help("Version of the configuration in force.")
                .callback(gauge -> inForce.ifPresent(known -> gauge.call((double) known.version())))
                .register(registry);
        GaugeWithCallback.builder()
                .name("pollenhoist_configuration_age_seconds")
                .help("Time since the configuration came into force at this VM.")
                .callback(gauge ->
                        inForce.ifPresent(known -> gauge.call(clock.get().secondsSince(known.since()))))
                .register(registry);
    }

    /**
     * Records that a configuration has come into force.
     *
     * @param version its version
     * @param receivedAt when it was received
     * @param now the current time, when it has been decoded and applied
     */
    void cameIntoForce(long version, MonotonicTime receivedAt, MonotonicTime now) {
        inForce = Optional.of(new InForce(version, now));
        duration.observe(now.secondsSince(receivedAt));
    }

    void reject(Rejection reason) {
        rejections.labelValues(reason.label).inc();
    }
}
