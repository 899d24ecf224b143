package org.pollenhoist.serving.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;

class EngineRankTest {

    private static final Duration URGENT = Duration.ofMillis(500);
    private static final Duration TOLERANT = Duration.ofMillis(2_500);
    private static final Duration PATIENT = Duration.ofSeconds(8);

    private static MonotonicTime at(Duration time) {
        return MonotonicTime.of(time);
    }

    private static NavigableMap<Integer, Duration> shortest(Duration objective) {
        NavigableMap<Integer, Duration> objectives = new TreeMap<>();
        objectives.put(1, objective);
        return objectives;
    }

    private static int rank(int priority, Duration objective, Duration waited) {
        return EngineRank.of(priority, objective, shortest(URGENT), at(Duration.ZERO), at(waited));
    }

    @Nested
    class UrgentRequests {

        @Test
        void should_rank_as_their_priority_says() {
            assertThat(rank(1, URGENT, Duration.ZERO)).isEqualTo(1);
        }

        @Test
        void should_rank_as_their_priority_says_when_their_objective_is_longer_by_a_few_times() {
            assertThat(rank(1, TOLERANT, Duration.ZERO)).isEqualTo(1);
        }
    }

    @Nested
    class PatientRequests {

        @Test
        void should_rank_behind_urgent_ones_of_the_same_and_of_the_next_priorities() {
            assertThat(rank(1, PATIENT, Duration.ZERO)).isGreaterThan(rank(3, URGENT, Duration.ZERO));
        }

        @Test
        void should_rank_as_their_priority_says_when_half_of_their_time_has_passed() {
            assertThat(rank(1, PATIENT, Duration.ofSeconds(4))).isEqualTo(1);
        }

        @Test
        void should_rank_as_their_priority_says_when_no_urgent_kind_is_served_beside_them() {
            assertThat(EngineRank.of(1, PATIENT, shortest(PATIENT), at(Duration.ZERO), at(Duration.ZERO)))
                    .isEqualTo(1);
        }
    }
}
