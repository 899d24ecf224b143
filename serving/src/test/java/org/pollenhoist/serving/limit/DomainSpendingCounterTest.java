package org.pollenhoist.serving.limit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DomainSpendingCounterTest {

    private final DomainSpendingCounter counter = new DomainSpendingCounter();

    @Nested
    class Add {

        @Test
        void should_count_tokens_spent_since_the_last_report() {
            assertThat(counter.add(1, 500)).isZero();
            assertThat(counter.add(1, 700)).isEqualTo(200);
            assertThat(counter.add(1, 700)).isZero();
        }

        @Test
        void should_count_tokens_once_when_two_vms_report_them() {
            counter.add(1, 500);
            counter.add(2, 9_000);

            long spent = counter.add(1, 800) + counter.add(2, 9_300) + counter.add(2, 9_400) + counter.add(1, 900);

            assertThat(spent).isEqualTo(400);
        }

        @Test
        void should_continue_when_another_vm_takes_over_reporting() {
            counter.add(1, 500);
            counter.add(1, 800);
            counter.add(2, 100);

            assertThat(counter.add(2, 250)).isEqualTo(150);
        }

        @Test
        void should_not_count_tokens_twice_when_they_were_refunded_and_spent_again() {
            counter.add(1, 500);

            assertThat(counter.add(1, 450)).isZero();
            assertThat(counter.add(1, 520)).isEqualTo(20);
        }
    }
}
