package org.pollenhoist.serving.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.channel.DefaultEventLoop;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;

/** Guards against changes that are ignored, and items that are kept, because their revisions are of another era. */
class StoreMirrorEraTest {

    /** Time since an outage that is too long ago to delay removals. */
    private static final Duration LONG_AGO = Duration.ofHours(1);

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final ScriptedStore store = new ScriptedStore();
    private final RecordingListener listener = new RecordingListener();
    private final List<String> events = listener.events;
    private MonotonicTime now = MonotonicTime.of(Duration.ofSeconds(100));
    private final StoreMirror mirror =
            new StoreMirror(loop, () -> now, store, listener, () -> ChangeBatchingDelay.MINIMUM);

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private void advance(long milliseconds) {
        now = now.plus(Duration.ofMillis(milliseconds));
        mirror.applyDueRemovals(now);
    }

    private static StoreItem item(String key, long era, long number) {
        return new StoreItem(key, new byte[0], new StoreRevision(era, number), false);
    }

    private static StorePage pageOf(long era, long number, boolean hasMore, StoreItem... items) {
        return new StorePage(List.of(items), new StoreRevision(era, number), hasMore);
    }

    private static StoreResult<StorePage> page(long era, long number, StoreItem... items) {
        return new StoreResult.Success<>(pageOf(era, number, false, items));
    }

    private static StoreChanges snapshot(long era, long number, StoreItem... items) {
        return new StoreChanges(new StoreRevision(era, number), List.of(items), List.of(), true, LONG_AGO);
    }

    @BeforeEach
    void loadFirstEra() {
        mirror.start();
        store.complete(page(1, 50, item("a", 1, 48), item("b", 1, 49)));
        events.clear();
    }

    @Nested
    class NewEra {

        /** The number that a watch names means another state of the store in the new era. */
        @Test
        void should_list_again_when_a_watch_of_the_era_before_is_answered_after_a_relay_of_the_new_one() {
            mirror.setFollowing(false);
            mirror.onNewEra(now);
            mirror.applyPeerChanges(snapshot(2, 46, item("a", 2, 46)));

            store.complete(page(2, 52, item("c", 2, 51), item("a", 2, 52)));
            assertThat(store.calls.peekLast()).isEqualTo("list ");
            store.complete(page(2, 52, item("a", 2, 52), item("b", 2, 47), item("c", 2, 51)));

            assertThat(mirror.find("b")).isPresent();
            assertThat(mirror.revision()).isEqualTo(new StoreRevision(2, 52));
        }

        @Test
        void should_take_each_item_of_the_copy_and_watch_from_its_revision() {
            mirror.onNewEra(now);
            store.pendingCallbacks.removeFirst();
            store.complete(page(2, 46, item("a", 2, 46)));

            assertThat(events).containsExactly("a=2/46", "-b", "listed");
            assertThat(store.calls.peekLast()).isEqualTo("watch 2/46");
            assertThat(mirror.revision()).isEqualTo(new StoreRevision(2, 46));
        }

        @Test
        void should_take_a_later_version_whose_revision_was_given_out_before() {
            mirror.onNewEra(now);
            store.pendingCallbacks.removeFirst();
            store.complete(page(2, 47, item("a", 2, 47)));
            store.complete(page(2, 48, item("a", 2, 48)));

            assertThat(events).endsWith("a=2/48");
        }

        @Test
        void should_list_when_a_watch_returns_changes_of_another_era() {
            store.complete(page(2, 51, item("a", 2, 51)));

            assertThat(events).isEmpty();
            assertThat(store.calls.peekLast()).isEqualTo("list ");
        }

        @Test
        void should_begin_anew_when_the_era_changes_between_two_pages() {
            mirror.onNewEra(now);
            store.pendingCallbacks.removeFirst();
            store.complete(new StoreResult.Success<>(pageOf(2, 47, true, item("a", 2, 47))));
            store.complete(page(3, 46, item("b", 3, 45)));
            assertThat(events).isEmpty();
            assertThat(store.calls.peekLast()).isEqualTo("list ");

            store.complete(page(3, 46, item("b", 3, 45)));
            advance(2_000);

            assertThat(events).containsExactly("b=3/45", "listed", "-a");
        }

        @Test
        void should_ignore_the_response_to_a_call_of_before() {
            mirror.onNewEra(now);
            store.complete(page(1, 51, item("a", 1, 51)));

            assertThat(events).isEmpty();
            assertThat(mirror.revision()).isEqualTo(new StoreRevision(1, 50));
        }

        @Test
        void should_not_know_the_store_until_it_is_listed_again() {
            mirror.onNewEra(now);

            assertThat(mirror.knownAsOf()).isEmpty();
            assertThat(mirror.isCurrent(now)).isFalse();
        }

        @Test
        void should_delay_the_removal_of_what_the_copy_lacks_and_its_owner_writes_again() {
            mirror.onNewEra(now);
            store.pendingCallbacks.removeFirst();
            store.complete(page(2, 46, item("b", 2, 46)));
            advance(1_800);
            assertThat(events).doesNotContain("-a");

            advance(200);

            assertThat(events).endsWith("-a");
        }

        @Test
        void should_take_a_peers_snapshot_of_a_later_era_with_a_lower_revision() {
            mirror.applyPeerChanges(snapshot(2, 46, item("a", 2, 45)));

            assertThat(events).containsExactly("a=2/45", "-b", "listed");
        }

        @Test
        void should_ignore_a_peers_snapshot_of_an_earlier_era_with_a_higher_revision() {
            mirror.applyPeerChanges(snapshot(2, 46, item("a", 2, 45)));
            events.clear();

            mirror.applyPeerChanges(snapshot(1, 60, item("a", 1, 60)));

            assertThat(events).isEmpty();
        }

        @Test
        void should_ignore_changes_of_a_later_era_that_are_no_snapshot() {
            mirror.applyPeerChanges(
                    new StoreChanges(new StoreRevision(2, 46), List.of(item("a", 2, 46)), List.of(), false, LONG_AGO));

            assertThat(events).isEmpty();
        }

        @Test
        void should_return_a_snapshot_to_a_peer_that_knows_another_era() {
            assertThat(mirror.changesAfter(new StoreRevision(2, 50), now).isSnapshot())
                    .isTrue();
            assertThat(mirror.changesAfter(new StoreRevision(0, 50), now).isSnapshot())
                    .isTrue();
            assertThat(mirror.changesAfter(new StoreRevision(1, 50), now).isSnapshot())
                    .isFalse();
        }

        @Test
        void should_keep_what_a_peer_reported_after_the_first_page_was_read() {
            mirror.onNewEra(now);
            store.pendingCallbacks.removeFirst();
            mirror.applyPeerChanges(snapshot(2, 60, item("a", 2, 45), item("c", 2, 60)));
            store.complete(page(2, 46, item("a", 2, 45), item("b", 2, 46)));

            assertThat(events).doesNotContain("-c");
            assertThat(mirror.find("c")).isPresent();
        }

        @Test
        void should_not_list_before_it_watches_when_it_does_not_follow_the_store() {
            mirror.setFollowing(false);
            int calls = store.calls.size();

            mirror.onNewEra(now);

            assertThat(store.calls).hasSize(calls);
        }

        @Test
        void should_pause_between_listings_when_each_watch_is_rejected() {
            store.complete(new StoreResult.Rejected<>("410"));
            assertThat(store.pendingCallbacks).isEmpty();

            await().until(() -> store.pendingCallbacks.size() == 1);

            assertThat(store.calls.peekLast()).isEqualTo("list ");
        }

        /**
         * Random histories with drills: while stores and peers answer in any order, a mirror never steps back, and each
         * one in touch ends equal to the store.
         */
        @Test
        void should_equal_the_store_after_any_history() {
            for (long seed = 1; seed <= 1_000; seed++) {
                new DrillSimulation(seed).run();
            }
        }

        /** As above, also while responses and relays are late: no mirror holds less or more than its revision says. */
        @Test
        void should_hold_what_its_revision_says_after_any_relay() {
            for (long seed = 1; seed <= 3_000; seed++) {
                new RelaySimulation(seed).run();
            }
        }
    }
}
