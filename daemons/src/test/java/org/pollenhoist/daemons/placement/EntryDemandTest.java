package org.pollenhoist.daemons.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.ModelName;

class EntryDemandTest {

    @Nested
    class Parse {

        @Test
        void should_read_the_sequences_of_each_model_when_other_metrics_stand_beside() {
            String exposition = """
                    # TYPE pollenhoist_model_sequences gauge
                    pollenhoist_model_sequences{model="berth"} 0.0
                    pollenhoist_model_sequences{model="scribe"} 12.0
                    pollenhoist_running_requests 12.0
                    """;

            assertThat(EntryDemand.parse(exposition))
                    .containsOnly(
                            org.assertj.core.api.Assertions.entry(ModelName.of("berth"), 0.0),
                            org.assertj.core.api.Assertions.entry(ModelName.of("scribe"), 12.0));
        }
    }
}
