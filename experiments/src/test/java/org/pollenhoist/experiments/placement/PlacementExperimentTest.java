package org.pollenhoist.experiments.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.placement.PolicySettings;

class PlacementExperimentTest {

    private static final Duration LENGTH = Duration.ofMinutes(3);

    private final PlacementExperiment experiment =
            new PlacementExperiment(PlacementDeployment.thalassa(), 0.5, PolicySettings.standard());

    @Nested
    class Run {

        @Test
        void should_give_the_same_result_when_run_again_with_the_seed() {
            assertThat(experiment.run(7, LENGTH)).isEqualTo(experiment.run(7, LENGTH));
        }

        @Test
        void should_meet_the_same_requests_when_strategies_differ() {
            PlacementResult result = experiment.run(8, LENGTH);

            assertThat(result.pollenhoist().requests()).isPositive();
            assertThat(result.fixed().requests()).isEqualTo(result.pollenhoist().requests());
            assertThat(result.onDemand().requests())
                    .isEqualTo(result.pollenhoist().requests());
            assertThat(result.fixed().moves()).isZero();
        }
    }
}
