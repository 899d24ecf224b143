package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;

class PlacementTriggerTest {

    private record Scheduled(MonotonicTime at, Runnable action) {}

    private final List<Scheduled> scheduled = new ArrayList<>();
    private final List<MonotonicTime> runs = new ArrayList<>();
    private MonotonicTime now = at(1_000);
    private final PlacementTrigger trigger = new PlacementTrigger(
            (delay, action) -> scheduled.add(new Scheduled(now.plus(delay), action)), () -> now, runs::add);

    private static MonotonicTime at(long milliseconds) {
        return MonotonicTime.of(Duration.ofMillis(milliseconds));
    }

    private void runScheduled() {
        Scheduled next = scheduled.removeFirst();
        now = next.at();
        next.action().run();
    }

    @Nested
    class Runs {

        @Test
        void should_follow_the_first_change_at_once() {
            trigger.request();
            runScheduled();

            assertThat(runs).containsExactly(at(1_000));
        }

        /** Guards against a leader that is busy with the placement alone while many requests wait for models. */
        @Test
        void should_be_spaced_when_changes_come_in_quick_succession() {
            for (int change = 0; change < 100; change++) {
                trigger.request();
            }
            runScheduled();
            for (int change = 0; change < 100; change++) {
                trigger.request();
            }
            runScheduled();

            assertThat(runs).containsExactly(at(1_000), at(1_020));
            assertThat(scheduled).isEmpty();
        }

        @Test
        void should_follow_a_later_change_at_once() {
            trigger.request();
            runScheduled();
            now = at(5_000);
            trigger.request();
            runScheduled();

            assertThat(runs).containsExactly(at(1_000), at(5_000));
        }
    }
}
