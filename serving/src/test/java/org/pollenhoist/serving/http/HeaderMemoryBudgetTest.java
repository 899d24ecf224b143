package org.pollenhoist.serving.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HeaderMemoryBudgetTest {

    private static final long HEAP_BYTES = 8_000;
    private static final long MAXIMUM_BYTES = 1_000;

    private final HeaderMemoryBudget budget = HeaderMemoryBudget.ofHeap(HEAP_BYTES);

    private static final class Connection implements HeaderMemoryBudget.Holder {

        private boolean isGivenUp;

        @Override
        public String address() {
            return "127.0.0.1:1";
        }

        @Override
        public void giveUp() {
            isGivenUp = true;
        }
    }

    @Nested
    class Holding {

        @Test
        void should_make_the_connection_that_holds_most_give_way_when_all_together_exceed_the_limit() {
            Connection largest = new Connection();
            Connection other = new Connection();
            budget.hold(largest, 600);
            budget.hold(other, 400);
            assertThat(largest.isGivenUp).isFalse();

            budget.hold(other, 401);

            assertThat(largest.isGivenUp).isTrue();
            assertThat(other.isGivenUp).isFalse();
            assertThat(budget.usedBytes()).isEqualTo(401);
            assertThat(budget.connectionsGivenUp()).isEqualTo(1);
        }

        @Test
        void should_allow_all_when_others_have_released_theirs() {
            Connection ended = new Connection();
            Connection next = new Connection();
            budget.hold(ended, MAXIMUM_BYTES);
            assertThat(budget.release(ended)).isEqualTo(MAXIMUM_BYTES);

            budget.hold(next, MAXIMUM_BYTES);
            budget.hold(next, 0);

            assertThat(next.isGivenUp).isFalse();
            assertThat(budget.usedBytes()).isZero();
        }

        @Test
        void should_spare_whoever_holds_less_than_all_others_in_any_course() {
            for (long seed = 1; seed <= 20; seed++) {
                Random random = new Random(seed);
                HeaderMemoryBudget shared = new HeaderMemoryBudget(MAXIMUM_BYTES);
                Connection ordinary = new Connection();
                List<Connection> crowd = new ArrayList<>();
                for (int step = 0; step < 200; step++) {
                    shared.hold(ordinary, random.nextInt(10));
                    crowd.add(new Connection());
                    shared.hold(crowd.get(random.nextInt(crowd.size())), 10 + random.nextInt(1_200));
                    assertThat(shared.usedBytes()).as("seed %s", seed).isLessThanOrEqualTo(MAXIMUM_BYTES);
                }
                assertThat(ordinary.isGivenUp).as("seed %s", seed).isFalse();
            }
        }
    }
}
