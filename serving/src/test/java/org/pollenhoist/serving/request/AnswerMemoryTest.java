package org.pollenhoist.serving.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AnswerMemoryTest {

    private final AnswerMemory memory = new AnswerMemory(100);

    @Nested
    class Taking {

        @Test
        void should_stay_within_its_bound_over_all_answers() {
            assertThat(memory.tryTake(60)).isTrue();
            assertThat(memory.tryTake(41)).isFalse();
            assertThat(memory.tryTake(40)).isTrue();
            assertThat(memory.tryTake(1)).isFalse();
        }

        @Test
        void should_have_room_again_when_an_answer_has_ended() {
            assertThat(memory.tryTake(100)).isTrue();
            memory.giveBack(100);
            assertThat(memory.tryTake(100)).isTrue();
        }
    }
}
