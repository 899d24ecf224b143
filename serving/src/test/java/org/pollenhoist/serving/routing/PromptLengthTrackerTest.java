package org.pollenhoist.serving.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PromptLengthTrackerTest {

    private final PromptLengthTracker sizes = new PromptLengthTracker();

    @Nested
    class Mean {

        @Test
        void should_be_none_before_the_first_prompt() {
            assertThat(sizes.mean("brief")).isZero();
        }

        @Test
        void should_be_that_of_the_first_prompt_at_once() {
            sizes.observe("brief", 900);

            assertThat(sizes.mean("brief")).isEqualTo(900);
        }

        @Test
        void should_follow_the_prompts_of_its_kind_alone() {
            for (int count = 0; count < 200; count++) {
                sizes.observe("brief", count % 2 == 0 ? 1_000 : 3_000);
                sizes.observe("chat", 50);
            }

            assertThat(sizes.mean("brief")).isBetween(1_900L, 2_100L);
            assertThat(sizes.mean("chat")).isEqualTo(50);
        }
    }
}
