package org.pollenhoist.serving.catalog;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CatalogTest {

    private static Route route(String prefix, int priority, int objectiveMilliseconds, String... services) {
        return new Route(
                prefix,
                "host",
                prefix,
                RequestKind.STREAM,
                Duration.ofSeconds(5),
                Duration.ofMillis(objectiveMilliseconds),
                Duration.ofMillis(400),
                priority,
                1,
                true,
                false,
                List.of(services).stream()
                        .map(name -> new WeightedService(name, 1))
                        .toList());
    }

    private static Catalog catalog(Route... routes) {
        return Catalog.of(1, List.of(routes), List.of(), List.of(), CallerLimits.DEFAULTS);
    }

    @Nested
    class ShortestObjectives {

        @Test
        void should_be_found_per_priority_when_routes_share_a_service() {
            Catalog catalog = catalog(
                    route("/a/", 1, 800, "llm"),
                    route("/b/", 1, 6_000, "llm"),
                    route("/c/", 0, 600, "llm", "app"),
                    route("/d/", 2, 100, "app"));

            assertThat(catalog.shortestObjectives("llm"))
                    .isEqualTo(Map.of(0, Duration.ofMillis(600), 1, Duration.ofMillis(800)));
            assertThat(catalog.shortestObjectives("app"))
                    .isEqualTo(Map.of(0, Duration.ofMillis(600), 2, Duration.ofMillis(100)));
        }

        @Test
        void should_be_empty_when_the_service_is_unknown() {
            assertThat(catalog().shortestObjectives("none")).isEmpty();
        }
    }
}
