package org.pollenhoist.serving.limit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DomainTotalTest {

    private final DomainTotal total = new DomainTotal();

    @Nested
    class Hearing {

        @Test
        void should_count_what_was_spent_since_the_last_word() {
            assertThat(total.hear(1, 500)).isZero();
            assertThat(total.hear(1, 700)).isEqualTo(200);
            assertThat(total.hear(1, 700)).isZero();
        }

        @Test
        void should_count_once_what_two_tell() {
            total.hear(1, 500);
            total.hear(2, 9_000);

            long spent = total.hear(1, 800) + total.hear(2, 9_300) + total.hear(2, 9_400) + total.hear(1, 900);

            assertThat(spent).isEqualTo(400);
        }

        @Test
        void should_go_on_with_another_teller() {
            total.hear(1, 500);
            total.hear(1, 800);
            total.hear(2, 100);

            assertThat(total.hear(2, 250)).isEqualTo(150);
        }

        @Test
        void should_not_count_tokens_twice_that_were_given_back_and_spent_again() {
            total.hear(1, 500);

            assertThat(total.hear(1, 450)).isZero();
            assertThat(total.hear(1, 520)).isEqualTo(20);
        }
    }
}
