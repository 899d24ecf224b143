package org.pollenhoist.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CacheHintsTest {

    private static CacheEvent stored(long sequence, long fingerprint) {
        return new CacheEvent(sequence, fingerprint, CacheEvent.Kind.STORED);
    }

    private static CacheHints hints(CacheEvent... events) {
        CacheHints hints = new CacheHints();
        hints.startIncarnation(1);
        List.of(events).forEach(hints::apply);
        return hints;
    }

    @Nested
    class MatchingBlocks {

        @Test
        void should_count_leading_blocks_only() {
            assertThat(hints(stored(5, 1), stored(6, 3)).matchingBlocks(List.of(1L, 2L, 3L)))
                    .isEqualTo(1);
        }

        @Test
        void should_count_nothing_learnt_before_a_gap() {
            assertThat(hints(stored(5, 1), stored(7, 2)).matchingBlocks(List.of(1L)))
                    .isZero();
        }

        @Test
        void should_count_what_was_learnt_after_a_gap() {
            assertThat(hints(stored(5, 1), stored(7, 1)).matchingBlocks(List.of(1L)))
                    .isEqualTo(1);
        }

        @Test
        void should_ignore_an_event_that_comes_again() {
            CacheHints hints = hints(stored(5, 1), new CacheEvent(6, 1, CacheEvent.Kind.EVICTED), stored(5, 1));
            assertThat(hints.matchingBlocks(List.of(1L))).isZero();
        }

        @Test
        void should_count_nothing_of_an_earlier_incarnation() {
            CacheHints hints = hints(stored(5, 1));
            hints.startIncarnation(2);
            assertThat(hints.matchingBlocks(List.of(1L))).isZero();
        }
    }
}
