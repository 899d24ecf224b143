package org.pollenhoist.limit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.VmName;

class HomeRecordTest {

    private static final long TOTAL = 300;
    private static final VmName FIRST = VmName.of("lavrio-1");
    private static final VmName SECOND = VmName.of("lavrio-2");

    private final HomeRecord one =
            HomeRecord.create(TOTAL).join(FIRST, 11, "10.0.0.1:70", 1).claim(11);

    private static long parts(HomeRecord record, long incarnation) {
        return record.find(incarnation).orElseThrow().parts();
    }

    @Nested
    class Claim {

        @Test
        void should_take_all_when_the_process_is_the_first() {
            assertThat(parts(one, 11)).isEqualTo(TOTAL);
            assertThat(one.untouched()).isZero();
        }

        @Test
        void should_take_nothing_when_others_hold_all() {
            HomeRecord two = one.join(SECOND, 22, "10.0.0.2:70", 1).claim(22);

            assertThat(parts(two, 22)).isZero();
        }
    }

    @Nested
    class Give {

        @Test
        void should_even_out_and_keep_the_total() {
            HomeRecord two = one.join(SECOND, 22, "10.0.0.2:70", 1);

            HomeRecord even = two.give(11, two.surplus(11));

            assertThat(parts(even, 11)).isEqualTo(150);
            assertThat(parts(even, 22)).isEqualTo(150);
            assertThat(even.total()).isEqualTo(TOTAL);
        }
    }

    @Nested
    class Join {

        @Test
        void should_release_the_predecessors_parts_when_the_address_is_the_same() {
            HomeRecord replaced = one.join(FIRST, 12, "10.0.0.1:70", 1);

            assertThat(replaced.find(11)).isEmpty();
            assertThat(replaced.released()).isEqualTo(TOTAL);
            assertThat(parts(replaced.claim(12), 12)).isEqualTo(TOTAL);
        }

        @Test
        void should_keep_the_predecessors_parts_when_the_address_differs() {
            HomeRecord beside = one.join(FIRST, 12, "10.0.0.9:70", 1);

            assertThat(parts(beside, 11)).isEqualTo(TOTAL);
        }
    }

    @Nested
    class ReleaseFloat {

        @Test
        void should_leave_half_to_the_process_once() {
            HomeRecord released = one.releaseFloat(11).releaseFloat(11);

            assertThat(parts(released, 11)).isEqualTo(150);
            assertThat(released.released()).isEqualTo(150);
        }
    }

    @Nested
    class Remove {

        @Test
        void should_release_all_parts() {
            assertThat(one.remove(11).released()).isEqualTo(TOTAL);
        }
    }

    @Nested
    class Leave {

        @Test
        void should_free_the_unburdened_parts_at_once_and_release_the_others() {
            HomeRecord left = one.leave(11, 200);

            assertThat(left.vacated()).isEqualTo(200);
            assertThat(left.released()).isEqualTo(100);
            assertThat(left.total()).isEqualTo(TOTAL);
        }

        @Test
        void should_give_the_successor_the_unburdened_parts_first() {
            HomeRecord successor = one.leave(11, 200)
                    .join(FIRST, 12, "10.0.0.1:70", 1)
                    .join(SECOND, 22, "10.0.0.2:70", 1)
                    .claim(12);

            assertThat(parts(successor, 12)).isEqualTo(150);
            assertThat(successor.vacated()).isEqualTo(50);
            assertThat(successor.released()).isEqualTo(100);
        }

        @Test
        void should_release_all_when_loans_rest_on_more_than_is_held() {
            assertThat(one.leave(11, -5).released()).isEqualTo(TOTAL);
        }
    }
}
