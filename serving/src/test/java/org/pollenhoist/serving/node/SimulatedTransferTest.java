package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards the time that simulated links take, from which tests of fleets draw their conclusions. */
class SimulatedTransferTest {

    /** What a link of 8 Mbit/s carries in 100 ms. */
    private static final long BYTES = 100_000;

    private static final int MEGABITS_PER_SECOND = 8;
    private static final long DELAY_MILLISECONDS = 1;

    private final SimulatedClock clock = new SimulatedClock();
    private final long start = clock.milliseconds();
    private final SimulatedLink wide = SimulatedLink.of(1_000, 0);
    private final SimulatedLink narrow = SimulatedLink.of(MEGABITS_PER_SECOND, 0);
    private final List<Long> wholeAfter = new ArrayList<>();

    private SimulatedTransfer begin(SimulatedLink from, SimulatedLink to, long bytes, BooleanSupplier isWanted) {
        return SimulatedTransfer.begin(
                clock,
                from,
                to,
                DELAY_MILLISECONDS,
                bytes,
                isWanted,
                () -> wholeAfter.add(clock.milliseconds() - start));
    }

    private SimulatedTransfer begin(SimulatedLink from, SimulatedLink to, long bytes) {
        return begin(from, to, bytes, () -> true);
    }

    @Nested
    class Alone {

        @Test
        void should_take_the_time_of_the_narrower_link() {
            begin(wide, narrow, BYTES);
            begin(wide, SimulatedLink.of(MEGABITS_PER_SECOND, 0.5), BYTES);

            clock.run(1_000);

            assertThat(wholeAfter.get(0)).isBetween(100L, 105L);
            assertThat(wholeAfter.get(1)).isBetween(200L, 205L);
        }

        @Test
        void should_take_the_delay_only_when_links_have_no_limit() {
            begin(SimulatedLink.unlimited(), SimulatedLink.unlimited(), BYTES);

            clock.run(1_000);

            assertThat(wholeAfter).containsExactly(DELAY_MILLISECONDS);
        }
    }

    @Nested
    class Beside {

        @Test
        void should_share_a_link_equally_when_one_sends_to_several() {
            begin(narrow, wide, BYTES);
            begin(narrow, wide, BYTES);
            begin(narrow, wide, BYTES / 10);

            clock.run(1_000);

            // Of each of the others, 16 KiB stand before it in the queue: 33 ms, and 10 ms of its own.
            assertThat(wholeAfter.get(0)).isBetween(43L, 48L);
            assertThat(wholeAfter.get(1)).isBetween(195L, 215L);
            assertThat(wholeAfter.get(2)).isBetween(205L, 215L);
        }

        @Test
        void should_not_share_one_direction_with_the_other() {
            begin(narrow, wide, BYTES);
            begin(wide, narrow, BYTES);

            clock.run(1_000);

            assertThat(wholeAfter).allSatisfy(after -> assertThat(after).isBetween(100L, 105L));
        }
    }

    @Nested
    class GivenUp {

        @Test
        void should_leave_the_link_to_the_others_when_nobody_wants_it_any_longer() {
            SimulatedTransfer unwanted = begin(narrow, wide, BYTES, () -> clock.milliseconds() - start < 20);
            begin(narrow, wide, BYTES);

            clock.run(1_000);

            assertThat(wholeAfter).hasSize(1);
            assertThat(wholeAfter.get(0)).isBetween(110L, 140L);
            assertThat(unwanted.receivedBytes()).isLessThan(BYTES / 3);
        }
    }
}
