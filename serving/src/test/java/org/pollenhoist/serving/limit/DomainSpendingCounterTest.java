package org.pollenhoist.serving.limit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DomainSpendingCounterTest {

    private final DomainSpendingCounter total = new DomainSpendingCounter();

    @Nested
    class Hearing {

        @Test
        void should_count_what_was_spent_since_the_last_word() {
            assertThat(total.add(1, 500)).isZero();
            assertThat(total.add(1, 700)).isEqualTo(200);
            assertThat(total.add(1, 700)).isZero();
        }

        @Test
        void should_count_once_what_two_tell() {
            total.add(1, 500);
            total.add(2, 9_000);

            long spent = total.add(1, 800) + total.add(2, 9_300) + total.add(2, 9_400) + total.add(1, 900);

            assertThat(spent).isEqualTo(400);
        }

        @Test
        void should_go_on_with_another_teller() {
            total.add(1, 500);
            total.add(1, 800);
            total.add(2, 100);

            assertThat(total.add(2, 250)).isEqualTo(150);
        }

        @Test
        void should_not_count_tokens_twice_that_were_given_back_and_spent_again() {
            total.add(1, 500);

            assertThat(total.add(1, 450)).isZero();
            assertThat(total.add(1, 520)).isEqualTo(20);
        }
    }
}
