package org.pollenhoist.serving.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ResponseBufferBudgetTest {

    private static final long MAXIMUM_BYTES = 100;

    private final ResponseBufferBudget budget = new ResponseBufferBudget(MAXIMUM_BYTES);

    private static final class Response implements ResponseBufferBudget.Holder {

        private final String upstream;
        private boolean isGivenUp;

        private Response(String upstream) {
            this.upstream = upstream;
        }

        @Override
        public String upstream() {
            return upstream;
        }

        @Override
        public void giveUp() {
            isGivenUp = true;
        }
    }

    @Nested
    class Resizing {

        @Test
        void should_limit_all_responses_together() {
            Response first = new Response("a");
            Response second = new Response("b");
            assertThat(budget.resize(first, 40)).isTrue();
            assertThat(budget.resize(second, 60)).isTrue();
            assertThat(budget.usedBytes()).isEqualTo(100);

            assertThat(budget.resize(second, 61)).isFalse();

            assertThat(second.isGivenUp).isTrue();
            assertThat(first.isGivenUp).isFalse();
            assertThat(budget.usedBytes()).isEqualTo(40);
        }

        @Test
        void should_allow_all_when_another_response_has_released_its_bytes() {
            Response first = new Response("a");
            assertThat(budget.resize(first, 100)).isTrue();
            assertThat(budget.release(first)).isEqualTo(100);

            assertThat(budget.resize(new Response("b"), 100)).isTrue();
        }
    }

    @Nested
    class GivingWay {

        /** Guards against sound responses that are ended because another upstream has filled the memory. */
        @Test
        void should_be_the_largest_response_of_the_upstream_that_fills_most_of_the_memory() {
            Response sound = new Response("sound");
            budget.resize(sound, 40);
            List<Response> endless = new ArrayList<>();
            for (int number = 0; number < 6; number++) {
                endless.add(new Response("faulty"));
                budget.resize(endless.get(number), number == 2 ? 11 : 10);
            }

            assertThat(sound.isGivenUp).isFalse();
            assertThat(endless)
                    .extracting(response -> response.isGivenUp)
                    .containsExactly(false, false, true, false, false, false);
        }

        @Test
        void should_spare_whoever_is_below_its_share_in_any_course() {
            for (long seed = 1; seed <= 500; seed++) {
                Random random = new Random(seed);
                ResponseBufferBudget shared = new ResponseBufferBudget(1_000);
                List<Response> responses = new ArrayList<>();
                Response sound = new Response("sound");
                long soundBytes = 0;
                for (int step = 0; step < 200; step++) {
                    if (random.nextInt(4) == 0) {
                        // Four upstreams: a fourth of the memory is one's share.
                        soundBytes = Math.min(250, soundBytes + random.nextInt(50));
                        assertThat(shared.resize(sound, soundBytes))
                                .as("seed %s", seed)
                                .isTrue();
                    } else {
                        Response response = new Response("faulty-" + random.nextInt(3));
                        responses.add(response);
                        shared.resize(response, 1 + random.nextInt(400));
                    }
                    assertThat(shared.usedBytes()).as("seed %s", seed).isLessThanOrEqualTo(1_000);
                    assertThat(sound.isGivenUp).as("seed %s", seed).isFalse();
                }
                responses.forEach(shared::release);
                assertThat(shared.usedBytes()).as("seed %s", seed).isEqualTo(soundBytes);
            }
        }
    }
}
