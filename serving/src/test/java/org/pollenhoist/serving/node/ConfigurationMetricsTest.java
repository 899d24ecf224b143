package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;

class ConfigurationMetricsTest {

    private static final MonotonicTime START = MonotonicTime.of(Duration.ofSeconds(100));

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final ConfigurationMetrics metrics =
            new ConfigurationMetrics(registry, () -> START.plus(Duration.ofSeconds(30)));

    private <T extends MetricSnapshot> T metric(Class<T> type, String name) {
        return type.cast(registry.scrape().stream()
                .filter(metric -> metric.getMetadata().getName().equals(name))
                .findFirst()
                .orElseThrow());
    }

    @Nested
    class Names {

        @Test
        void should_be_those_that_the_documentation_for_operators_explains() {
            metrics.cameIntoForce(12, START, START);

            assertThat(registry.scrape().stream()
                            .map(MetricSnapshot::getMetadata)
                            .map(metadata -> metadata.getName()))
                    .containsExactlyInAnyOrder(
                            "pollenhoist_configurations_rejected",
                            "pollenhoist_configuration_apply_seconds",
                            "pollenhoist_configuration_version",
                            "pollenhoist_configuration_age_seconds");
        }
    }

    @Nested
    class InForce {

        @Test
        void should_show_version_age_and_the_time_that_applying_took() {
            metrics.cameIntoForce(12, START, START.plus(Duration.ofMillis(250)));

            assertThat(metric(GaugeSnapshot.class, "pollenhoist_configuration_version")
                            .getDataPoints()
                            .get(0)
                            .getValue())
                    .isEqualTo(12);
            assertThat(metric(GaugeSnapshot.class, "pollenhoist_configuration_age_seconds")
                            .getDataPoints()
                            .get(0)
                            .getValue())
                    .isEqualTo(29.75);
            assertThat(metric(HistogramSnapshot.class, "pollenhoist_configuration_apply_seconds")
                            .getDataPoints()
                            .get(0)
                            .getSum())
                    .isEqualTo(0.25);
        }
    }

    @Nested
    class Rejected {

        @Test
        void should_be_counted_by_reason() {
            metrics.reject(ConfigurationMetrics.Rejection.UNREADABLE);
            metrics.reject(ConfigurationMetrics.Rejection.UNREADABLE);
            metrics.reject(ConfigurationMetrics.Rejection.OLDER);

            assertThat(metric(CounterSnapshot.class, "pollenhoist_configurations_rejected")
                            .getDataPoints())
                    .extracting(point -> point.getLabels().get("reason") + ' ' + point.getValue())
                    .containsExactlyInAnyOrder("unreadable 2.0", "older 1.0");
        }
    }
}
