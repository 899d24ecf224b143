package org.pollenhoist.serving.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ResponseBufferBudgetTest {

    private final ResponseBufferBudget memory = new ResponseBufferBudget(100);

    @Nested
    class Taking {

        @Test
        void should_stay_within_its_bound_over_all_answers() {
            assertThat(memory.tryReserve(60)).isTrue();
            assertThat(memory.tryReserve(41)).isFalse();
            assertThat(memory.tryReserve(40)).isTrue();
            assertThat(memory.tryReserve(1)).isFalse();
        }

        @Test
        void should_have_room_again_when_an_answer_has_ended() {
            assertThat(memory.tryReserve(100)).isTrue();
            memory.release(100);
            assertThat(memory.tryReserve(100)).isTrue();
        }
    }
}
