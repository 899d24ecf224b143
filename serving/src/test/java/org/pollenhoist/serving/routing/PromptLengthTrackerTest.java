package org.pollenhoist.serving.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PromptLengthTrackerTest {

    private final PromptLengthTracker lengths = new PromptLengthTracker();

    @Nested
    class Mean {

        @Test
        void should_be_zero_before_the_first_prompt() {
            assertThat(lengths.mean("brief")).isZero();
        }

        @Test
        void should_equal_the_length_of_the_first_prompt() {
            lengths.observe("brief", 900);

            assertThat(lengths.mean("brief")).isEqualTo(900);
        }

        @Test
        void should_depend_only_on_prompts_of_the_same_kind() {
            for (int count = 0; count < 200; count++) {
                lengths.observe("brief", count % 2 == 0 ? 1_000 : 3_000);
                lengths.observe("chat", 50);
            }

            assertThat(lengths.mean("brief")).isBetween(1_900L, 2_100L);
            assertThat(lengths.mean("chat")).isEqualTo(50);
        }
    }
}
