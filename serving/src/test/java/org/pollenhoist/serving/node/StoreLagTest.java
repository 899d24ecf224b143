package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.store.StoreRevision;

class StoreLagTest {

    private static final MonotonicTime START = MonotonicTime.of(Duration.ofSeconds(100));
    private static final long ERA = 1;

    private final StoreLag lag = new StoreLag();

    private static MonotonicTime after(long milliseconds) {
        return START.plus(Duration.ofMillis(milliseconds));
    }

    private static StoreRevision revision(long number) {
        return new StoreRevision(ERA, number);
    }

    private void hear(long number, long at) {
        lag.hear(revision(number), "vm-2", after(at));
    }

    private Optional<Episode.Change> update(long own, long now) {
        return lag.update(revision(own), after(now));
    }

    @Nested
    class Trailing {

        @Test
        void should_begin_when_a_revision_heard_of_is_lacking_for_the_delay() {
            hear(8, 0);

            assertThat(update(7, 499)).isEmpty();
            assertThat(update(7, 500)).contains(new Episode.Change.Begun(after(0)));
        }

        @Test
        void should_not_begin_again_while_further_revisions_are_heard_of() {
            hear(8, 0);
            update(7, 500);

            hear(9, 600);

            assertThat(update(7, 1_200)).isEmpty();
            assertThat(lag.behindSince()).contains(after(0));
        }

        @Test
        void should_not_begin_while_each_of_many_changes_arrives_shortly_after_it_was_heard_of() {
            for (long change = 1; change <= 100; change++) {
                hear(change, change * 50);

                assertThat(update(change - 1, change * 50)).isEmpty();
            }
        }

        @Test
        void should_begin_when_a_later_era_was_heard_of_although_its_numbers_are_lower() {
            lag.hear(new StoreRevision(ERA + 1, 3), "vm-2", after(0));

            assertThat(update(900, 500)).contains(new Episode.Change.Begun(after(0)));
        }

        @Test
        void should_not_begin_when_only_earlier_revisions_are_heard_of() {
            hear(6, 0);

            assertThat(update(7, 5_000)).isEmpty();
            assertThat(lag.behindSince()).isEmpty();
        }

        @Test
        void should_go_on_when_nobody_names_the_revision_any_longer() {
            hear(8, 0);
            update(7, 500);

            assertThat(update(7, 60_000)).isEmpty();
            assertThat(lag.behindSince()).contains(after(0));
        }
    }

    @Nested
    class Recent {

        @Test
        void should_be_reported_once_with_the_time_at_which_the_revision_arrived() {
            hear(8, 0);
            update(7, 500);

            assertThat(update(8, 900)).isEmpty();
            assertThat(update(8, 1_900)).contains(new Episode.Change.Ended(after(0), after(900)));
            assertThat(update(8, 9_000)).isEmpty();
        }

        @Test
        void should_be_reported_while_further_changes_arrive_in_time() {
            hear(8, 0);
            update(7, 500);
            hear(9, 850);
            update(8, 900);

            update(9, 1_000);
            hear(10, 1_800);

            assertThat(update(9, 1_900)).contains(new Episode.Change.Ended(after(0), after(900)));
        }
    }

    @Nested
    class Newest {

        @Test
        void should_name_who_said_it_last_and_when_it_was_first_heard_of() {
            lag.hear(revision(8), "vm-2", after(0));
            lag.hear(revision(8), "vm-3", after(300));
            lag.hear(revision(7), "vm-4", after(400));

            assertThat(lag.newest()).contains(new StoreLag.Sighting(revision(8), "vm-3", after(0), after(300)));
        }

        @Test
        void should_lapse_without_an_era_since_the_store_may_have_gone_back_to_an_older_copy() {
            lag.hear(StoreRevision.withoutEra(900), "vm-2", after(0));
            lag.update(StoreRevision.withoutEra(20), after(500));

            lag.update(StoreRevision.withoutEra(20), after(10_000));

            assertThat(lag.newest()).isEmpty();
            assertThat(lag.behindSince()).isEmpty();
        }
    }
}
