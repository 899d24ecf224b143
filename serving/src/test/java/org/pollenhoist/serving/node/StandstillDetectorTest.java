package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;

class StandstillDetectorTest {

    private static final MonotonicTime START = MonotonicTime.of(Duration.ofSeconds(100));

    private final StandstillDetector detector = new StandstillDetector(START);

    private static MonotonicTime after(long milliseconds) {
        return START.plus(Duration.ofMillis(milliseconds));
    }

    @Nested
    class Settled {

        @Test
        void should_hold_while_the_process_ticks() {
            detector.tick(after(50));

            assertThat(detector.isSettled(after(90))).isTrue();
        }

        @Test
        void should_not_hold_before_the_first_tick_after_a_standstill() {
            detector.tick(after(50));

            assertThat(detector.isSettled(after(5_000))).isFalse();
        }

        @Test
        void should_not_hold_while_what_waited_in_the_sockets_is_read() {
            detector.tick(after(5_000));
            detector.tick(after(5_050));

            assertThat(detector.isSettled(after(5_060))).isFalse();
            for (long time = 5_100; time <= 6_000; time += 50) {
                detector.tick(after(time));
            }
            assertThat(detector.isSettled(after(6_000))).isTrue();
        }
    }
}
