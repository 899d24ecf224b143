package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;

class EpisodeTest {

    private static final MonotonicTime START = MonotonicTime.of(Duration.ofSeconds(100));

    private final Episode episode = new Episode(Duration.ofMillis(500), Duration.ofSeconds(1));

    private static MonotonicTime after(long milliseconds) {
        return START.plus(Duration.ofMillis(milliseconds));
    }

    private Optional<Episode.Change> disturbed(long since, long now) {
        return episode.update(Optional.of(after(since)), after(now));
    }

    private Optional<Episode.Change> undisturbed(long now) {
        return episode.update(Optional.empty(), after(now));
    }

    @Nested
    class Begin {

        @Test
        void should_not_come_before_the_minimum_duration() {
            assertThat(disturbed(0, 499)).isEmpty();
        }

        @Test
        void should_come_once() {
            assertThat(disturbed(0, 500)).contains(new Episode.Change.Begun(after(0)));
            assertThat(disturbed(0, 550)).isEmpty();
            assertThat(disturbed(0, 60_000)).isEmpty();
        }

        @Test
        void should_not_come_from_several_short_disturbances() {
            assertThat(disturbed(0, 400)).isEmpty();
            assertThat(disturbed(400, 800)).isEmpty();
            assertThat(undisturbed(5_000)).isEmpty();
        }
    }

    @Nested
    class End {

        @Test
        void should_come_once_after_the_settling_time_and_tell_when_the_disturbance_ended() {
            disturbed(0, 500);

            assertThat(undisturbed(700)).isEmpty();
            assertThat(undisturbed(1_699)).isEmpty();
            assertThat(undisturbed(1_700)).contains(new Episode.Change.Ended(after(0), after(700)));
            assertThat(undisturbed(9_000)).isEmpty();
        }

        @Test
        void should_wait_while_the_disturbance_comes_and_goes() {
            disturbed(0, 500);
            undisturbed(700);

            assertThat(disturbed(800, 1_300)).isEmpty();
            assertThat(undisturbed(1_800)).isEmpty();
            assertThat(undisturbed(2_800)).contains(new Episode.Change.Ended(after(0), after(1_800)));
        }

        @Test
        void should_let_a_further_episode_begin() {
            disturbed(0, 500);
            undisturbed(700);
            undisturbed(1_700);

            assertThat(disturbed(2_000, 2_500)).contains(new Episode.Change.Begun(after(2_000)));
        }
    }
}
