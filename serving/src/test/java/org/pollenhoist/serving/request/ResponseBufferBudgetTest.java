package org.pollenhoist.serving.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ResponseBufferBudgetTest {

    private final ResponseBufferBudget budget = new ResponseBufferBudget(100);

    @Nested
    class Reserving {

        @Test
        void should_limit_all_responses_together_when_several_reserve() {
            assertThat(budget.tryReserve(60)).isTrue();
            assertThat(budget.tryReserve(41)).isFalse();
            assertThat(budget.tryReserve(40)).isTrue();
            assertThat(budget.tryReserve(1)).isFalse();
        }

        @Test
        void should_allow_reservation_when_another_response_has_released_its_bytes() {
            assertThat(budget.tryReserve(100)).isTrue();
            budget.release(100);
            assertThat(budget.tryReserve(100)).isTrue();
        }
    }
}
