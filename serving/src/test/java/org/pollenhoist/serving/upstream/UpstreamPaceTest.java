package org.pollenhoist.serving.upstream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;

class UpstreamPaceTest {

    private final UpstreamPace pace = new UpstreamPace();

    private static MonotonicTime at(long milliseconds) {
        return MonotonicTime.of(Duration.ofMillis(milliseconds));
    }

    @Nested
    class Unstated {

        @Test
        void should_be_the_usual_one() {
            assertThat(pace.at(at(0))).isEqualTo(UpstreamPace.USUAL);
            assertThat(pace.reportable(at(0))).isEmpty();
        }
    }

    @Nested
    class Statements {

        @Test
        void should_count_at_once_when_they_are_the_first_ones() {
            pace.observe(3, at(0));

            assertThat(pace.at(at(0))).isEqualTo(3);
        }

        @Test
        void should_return_to_the_usual_pace_with_age() {
            pace.observe(3, at(0));

            assertThat(pace.at(at(1_000))).isCloseTo(2, within(0.01));
            assertThat(pace.at(at(2_000))).isEqualTo(UpstreamPace.USUAL);
        }

        @Test
        void should_be_smoothed_when_they_change_many_times_a_second() {
            Random random = new Random(1);
            for (int millisecond = 0; millisecond <= 5_000; millisecond += 20) {
                pace.observe(random.nextBoolean() ? 1 : 3, at(millisecond));
            }

            assertThat(pace.at(at(5_000))).isBetween(1.3, 2.7);
        }

        @Test
        void should_be_bounded() {
            pace.observe(1e9, at(0));

            assertThat(pace.at(at(0))).isEqualTo(20);
        }
    }

    @Nested
    class MeasuredTimes {

        /** Guards against counting slowness twice: in a measured time, and in the pace that it is multiplied by. */
        @Test
        void should_be_told_as_at_the_usual_pace() {
            pace.observe(2, at(0));

            assertThat(pace.atUsualPace(Duration.ofMillis(500), at(0))).isEqualTo(Duration.ofMillis(250));
        }

        @Test
        void should_be_told_as_they_are_where_no_pace_is_stated() {
            assertThat(pace.atUsualPace(Duration.ofMillis(500), at(0))).isEqualTo(Duration.ofMillis(500));
        }
    }

    @Nested
    class Reports {

        @Test
        void should_contain_what_the_upstream_stated_here_of_late() {
            pace.observe(3, at(0));

            assertThat(pace.reportable(at(999))).hasValue(3);
            assertThat(pace.reportable(at(1_000))).isEmpty();
        }

        @Test
        void should_not_contain_what_peers_reported() {
            pace.receive(3, at(0));

            assertThat(pace.at(at(0))).isEqualTo(3);
            assertThat(pace.reportable(at(0))).isEmpty();
        }
    }
}
