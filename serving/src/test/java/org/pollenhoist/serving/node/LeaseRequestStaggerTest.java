package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;

class LeaseRequestStaggerTest {

    private static final MonotonicTime START = MonotonicTime.of(Duration.ofSeconds(100));

    private final LeaseRequestStagger stagger = new LeaseRequestStagger(START);

    private static MonotonicTime after(long milliseconds) {
        return START.plus(Duration.ofMillis(milliseconds));
    }

    @Nested
    class Due {

        @Test
        void should_be_at_once_for_the_first_vm() {
            assertThat(stagger.isDue(true, 0, after(0))).isTrue();
        }

        @Test
        void should_be_after_a_delay_for_each_vm_before() {
            assertThat(stagger.isDue(true, 3, after(449))).isFalse();
            assertThat(stagger.isDue(true, 3, after(450))).isTrue();
        }

        @Test
        void should_be_counted_from_the_last_time_that_the_lease_was_held() {
            stagger.isDue(false, 1, after(1_000));

            assertThat(stagger.isDue(true, 1, after(1_149))).isFalse();
            assertThat(stagger.isDue(true, 1, after(1_150))).isTrue();
        }
    }
}
