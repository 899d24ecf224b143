package org.pollenhoist.request;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.request.DrainSequence.Work;

class PlannedStopTest {

    private static final DrainBounds BOUNDS = new DrainBounds(
            Duration.ofSeconds(5),
            Duration.ofSeconds(1),
            Duration.ofSeconds(2),
            Duration.ofSeconds(10),
            Duration.ofSeconds(20),
            Duration.ofSeconds(30));

    private static MonotonicTime at(long milliseconds) {
        return MonotonicTime.of(Duration.ofMillis(milliseconds));
    }

    private static DrainSequence in(DrainPhase phase) {
        return new DrainSequence(BOUNDS, phase, at(0));
    }

    @Nested
    class Advance {

        @Test
        void should_pass_all_phases_in_order_when_there_is_no_unfinished_work() {
            List<DrainPhase> phases = new ArrayList<>();
            DrainSequence sequence = DrainSequence.serving(BOUNDS, at(0)).stop(at(0));
            for (long time = 0; time < 9_000; time += 10) {
                if (phases.isEmpty() || phases.getLast() != sequence.phase()) {
                    phases.add(sequence.phase());
                }
                sequence = sequence.advance(new Work(0, 0, time > 7_000), at(time));
            }
            assertThat(phases)
                    .containsExactly(
                            DrainPhase.UNREADY,
                            DrainPhase.CLOSING,
                            DrainPhase.HANDING_OVER,
                            DrainPhase.DRAINING,
                            DrainPhase.STOPPED);
        }

        @Test
        void should_serve_as_before_until_balancer_and_peers_have_been_notified() {
            DrainSequence early = in(DrainPhase.UNREADY).advance(new Work(0, 0, true), at(4_999));
            assertThat(early.phase()).isEqualTo(DrainPhase.UNREADY);
            assertThat(early.phase().isReady()).isFalse();
            assertThat(early.phase().acceptsConnections()).isTrue();
            assertThat(early.phase().closesConnections()).isFalse();
        }

        @Test
        void should_wait_for_streams_longer_than_for_other_requests() {
            DrainSequence draining = in(DrainPhase.DRAINING);
            assertThat(draining.advance(new Work(0, 1, true), at(19_999)).phase())
                    .isEqualTo(DrainPhase.DRAINING);
            assertThat(draining.advance(new Work(0, 1, true), at(20_000)).phase())
                    .isEqualTo(DrainPhase.STOPPED);
        }

        @Test
        void should_wait_for_a_running_request_within_its_time_limit() {
            DrainSequence draining = in(DrainPhase.DRAINING);
            assertThat(draining.advance(new Work(1, 0, true), at(9_999)).phase())
                    .isEqualTo(DrainPhase.DRAINING);
            assertThat(draining.advance(new Work(0, 0, true), at(100)).phase()).isEqualTo(DrainPhase.STOPPED);
        }

        @Test
        void should_enter_draining_when_hand_over_exceeds_its_time_limit() {
            DrainSequence late = in(DrainPhase.HANDING_OVER).advance(new Work(0, 0, false), at(2_000));
            assertThat(late.phase()).isEqualTo(DrainPhase.DRAINING);
        }
    }

    @Nested
    class Bounds {

        @Test
        void should_reject_a_grace_period_that_is_shorter_than_the_sequence() {
            Duration second = Duration.ofSeconds(1);
            assertThatThrownBy(() -> new DrainBounds(second, second, second, second, second, second))
                    .isInstanceOf(PollenhoistException.class)
                    .hasMessage("supervisor's grace is 1000 ms, expected more than the stop sequence of 4000 ms");
        }

        @Test
        void should_reject_a_drain_that_is_shorter_than_the_longest_deadline() {
            assertThatThrownBy(() -> BOUNDS.requireOutlasts(Duration.ofSeconds(60)))
                    .hasMessage("drain bound of streams is 20000 ms, expected at least the longest deadline of a"
                            + " profile, 60000 ms");
        }
    }

    @Nested
    class Stall {

        private final StallTimer timer =
                StallTimer.start(Duration.ofSeconds(5), Duration.ofSeconds(1), at(20_000), at(0));

        @Test
        void should_be_detected_before_the_head() {
            assertThat(timer.check(at(4_999))).isEqualTo(StallTimer.Finding.WAIT);
            assertThat(timer.check(at(5_000))).isEqualTo(StallTimer.Finding.STALLED);
        }

        @Test
        void should_be_detected_between_two_chunks() {
            StallTimer streaming = timer.progressed(at(3_000)).progressed(at(3_900));
            assertThat(streaming.check(at(4_800))).isEqualTo(StallTimer.Finding.WAIT);
            assertThat(streaming.check(at(4_900))).isEqualTo(StallTimer.Finding.STALLED);
            assertThat(streaming.nextCheck()).isEqualTo(at(4_900));
        }

        @Test
        void should_report_the_deadline_when_it_has_passed_too() {
            assertThat(timer.check(at(20_000))).isEqualTo(StallTimer.Finding.DEADLINE_PASSED);
        }
    }

    @Nested
    class Freshness {

        private final ConnectionFreshness freshness = ConnectionFreshness.standard();

        @Test
        void should_reuse_a_connection_for_non_idempotent_requests_only_when_it_received_bytes_recently() {
            assertThat(freshness.decide(false, at(0), at(1_000))).isEqualTo(ConnectionFreshness.Use.REUSE);
            assertThat(freshness.decide(false, at(0), at(1_001))).isEqualTo(ConnectionFreshness.Use.OPEN_FRESH);
            assertThat(freshness.decide(true, at(0), at(1_001))).isEqualTo(ConnectionFreshness.Use.REUSE);
        }

        @Test
        void should_close_a_connection_that_has_been_idle_for_too_long() {
            assertThat(freshness.decide(true, at(0), at(15_001))).isEqualTo(ConnectionFreshness.Use.CLOSE);
        }
    }
}
