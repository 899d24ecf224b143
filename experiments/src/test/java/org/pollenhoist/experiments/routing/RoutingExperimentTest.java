package org.pollenhoist.experiments.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RoutingExperimentTest {

    private static final Duration LENGTH = Duration.ofSeconds(60);

    @Nested
    class Run {

        @ParameterizedTest
        @ValueSource(longs = {1, 2})
        void should_beat_the_simple_ways_in_tail_latency_and_prefix_hits(long seed) {
            for (Deployment deployment : List.of(Deployment.thalassa(), Deployment.gulposh())) {
                RoutingResult result = RoutingExperiment.of(deployment).run(seed, LENGTH);
                StrategyResult router = result.of("router");
                for (String other : List.of("random", "round_robin", "least_reported")) {
                    StrategyResult simple = result.of(other);
                    assertThat(router.p95Milliseconds()).as(other).isLessThan(simple.p95Milliseconds());
                    assertThat(router.p99Milliseconds()).as(other).isLessThan(simple.p99Milliseconds());
                    assertThat(router.prefixHitRate()).as(other).isGreaterThan(simple.prefixHitRate());
                }
            }
        }

        @ParameterizedTest
        @ValueSource(longs = 3)
        void should_give_the_same_result_when_run_again_with_the_same_seed(long seed) {
            RoutingExperiment experiment = RoutingExperiment.of(Deployment.gulposh());
            assertThat(experiment.run(seed, LENGTH)).isEqualTo(experiment.run(seed, LENGTH));
        }
    }
}
