package org.pollenhoist.serving.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.channel.DefaultEventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;

class StoreMirrorTest {

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final ScriptedStore store = new ScriptedStore();
    private final RecordingListener listener = new RecordingListener();
    private final List<String> events = listener.events;
    private MonotonicTime now = MonotonicTime.of(Duration.ofSeconds(100));
    private final StoreMirror mirror =
            new StoreMirror(loop, () -> now, store, listener, () -> ChangeBatchingDelay.MINIMUM);

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.SECONDS);
    }

    /** Time since an outage that is too long ago to delay removals. */
    private static final Duration LONG_AGO = Duration.ofHours(1);

    private static StoreItem item(String key, long revision) {
        return new StoreItem(key, new byte[0], StoreRevision.withoutEra(revision), false);
    }

    private static StoreItem removal(String key, long revision) {
        return new StoreItem(key, new byte[0], StoreRevision.withoutEra(revision), true);
    }

    private static StoreResult<StorePage> page(long revision, StoreItem... items) {
        return new StoreResult.Success<>(new StorePage(List.of(items), StoreRevision.withoutEra(revision), false));
    }

    private static StoreChanges snapshot(long revision, StoreItem... items) {
        return new StoreChanges(StoreRevision.withoutEra(revision), List.of(items), List.of(), true, LONG_AGO);
    }

    private void load() {
        mirror.start();
        store.complete(page(5, item("a", 3), item("b", 4)));
        events.clear();
    }

    private void advance(long milliseconds) {
        now = now.plus(Duration.ofMillis(milliseconds));
        mirror.applyDueRemovals(now);
    }

    @Nested
    class Listing {

        @Test
        void should_apply_the_other_items_and_watch_on_when_one_is_rejected() {
            listener.rejectedKey = "b";

            mirror.start();
            store.complete(page(5, item("a", 3), item("b", 4), item("c", 5)));

            assertThat(events).contains("a=3", "c=5");
            assertThat(store.calls.peekLast()).isEqualTo("watch 5");
        }

        @Test
        void should_report_all_items_and_watch_from_their_revision_when_started() {
            mirror.start();
            store.complete(page(5, item("a", 3), item("b", 4)));

            assertThat(events).containsExactly("a=3", "b=4", "listed");
            assertThat(store.calls.peekLast()).isEqualTo("watch 5");
        }

        @Test
        void should_list_from_the_last_key_of_a_page_when_there_are_more() {
            mirror.start();
            store.complete(
                    new StoreResult.Success<>(new StorePage(List.of(item("a", 3)), StoreRevision.withoutEra(5), true)));

            assertThat(store.calls.peekLast()).isEqualTo("list a");
        }

        @Test
        void should_list_again_and_remove_missing_items_when_the_history_is_lost() {
            load();
            now = now.plus(Duration.ofSeconds(1));
            store.complete(new StoreResult.Rejected<>("410"));
            store.complete(page(9, item("b", 4)));

            assertThat(events).containsExactly("-a", "listed");
        }
    }

    @Nested
    class Watching {

        @Test
        void should_report_each_change_once_when_it_is_repeated() {
            load();
            store.complete(page(7, item("a", 6), item("a", 6), removal("b", 7)));

            assertThat(events).containsExactly("a=6", "-b");
            assertThat(mirror.revision()).isEqualTo(StoreRevision.withoutEra(7));
        }

        @Test
        void should_wait_for_the_batching_delay_when_changes_were_received() {
            load();
            store.complete(page(6, item("a", 6)));
            assertThat(store.pendingCallbacks).isEmpty();

            await().until(() -> store.pendingCallbacks.size() == 1);
            store.complete(page(6));

            assertThat(store.pendingCallbacks).hasSize(1);
        }

        @Test
        void should_apply_the_other_changes_and_watch_on_when_a_removal_is_rejected() {
            load();
            listener.rejectedKey = "b";
            store.complete(page(7, removal("b", 6), item("a", 7)));

            assertThat(events).containsExactly("a=7");
            await().until(() -> store.pendingCallbacks.size() == 1);
            assertThat(store.calls.peekLast()).isEqualTo("watch 7");
        }

        @Test
        void should_ignore_an_item_when_its_revision_is_older_than_the_known_one() {
            load();
            store.complete(page(7, item("a", 2)));

            assertThat(events).isEmpty();
        }
    }

    /** The store has come back from a copy of revision 3: "b" is lost, revisions from 4 on are given out again. */
    @Nested
    class OlderCopy {

        @BeforeEach
        void comeBack() {
            load();
            now = now.plus(Duration.ofSeconds(1));
            store.complete(new StoreResult.Rejected<>("410"));
        }

        @Test
        void should_watch_from_the_revision_that_the_store_has() {
            store.complete(page(4, item("a", 3), item("c", 4)));

            assertThat(events).containsExactly("c=4", "-b", "listed");
            assertThat(store.calls.peekLast()).isEqualTo("watch 4");
        }

        @Test
        void should_apply_an_item_that_was_written_again_at_a_lower_revision() {
            mirror.applyPeerChanges(
                    new StoreChanges(StoreRevision.withoutEra(9), List.of(item("a", 9)), List.of(), false, LONG_AGO));
            events.clear();

            store.complete(page(4, item("a", 4)));

            assertThat(events).contains("a=4");
        }

        /** Guards against an item that is missed because its removal at a higher revision is remembered. */
        @Test
        void should_apply_an_item_that_was_removed_in_the_lost_time() {
            mirror.applyPeerChanges(new StoreChanges(
                    StoreRevision.withoutEra(9), List.of(), List.of(removal("b", 9)), false, LONG_AGO));
            store.complete(page(4, item("a", 3)));
            events.clear();

            store.complete(page(5, item("b", 5)));

            assertThat(events).containsExactly("b=5");
        }
    }

    @Nested
    class Outage {

        private void loseStore() {
            load();
            store.complete(new StoreResult.Unavailable<>("no answer"));
            loop.submit(() -> {}).syncUninterruptibly();
            await().until(() -> store.pendingCallbacks.size() == 1);
        }

        @Test
        void should_delay_a_removal_when_the_owner_may_write_the_item_again() {
            loseStore();
            store.complete(page(8, removal("a", 8)));
            advance(1_800);
            assertThat(events).isEmpty();

            advance(200);

            assertThat(events).containsExactly("-a");
        }

        @Test
        void should_report_a_removal_at_once_when_no_owner_writes_the_item_again() {
            loseStore();
            store.complete(page(8, removal("b", 8)));

            assertThat(events).containsExactly("-b");
        }

        @Test
        void should_drop_a_delayed_removal_when_the_item_is_written_again() {
            loseStore();
            store.complete(page(8, removal("a", 8)));
            await().until(() -> store.pendingCallbacks.size() == 1);
            store.complete(page(9, item("a", 9)));
            advance(3_000);

            assertThat(events).containsExactly("a=9");
        }
    }

    @Nested
    class Relay {

        @Test
        void should_apply_a_snapshot_when_it_is_newer() {
            load();
            mirror.applyPeerChanges(snapshot(9, item("b", 8), item("c", 9)));

            assertThat(events).containsExactly("b=8", "c=9", "-a", "listed");
            assertThat(mirror.revision()).isEqualTo(StoreRevision.withoutEra(9));
        }

        @Test
        void should_ignore_a_snapshot_when_it_is_older() {
            load();
            mirror.applyPeerChanges(snapshot(4));

            assertThat(events).isEmpty();
        }

        @Test
        void should_keep_other_items_when_changes_are_no_snapshot() {
            load();
            mirror.applyPeerChanges(new StoreChanges(
                    StoreRevision.withoutEra(9), List.of(item("c", 9)), List.of(removal("b", 8)), false, LONG_AGO));

            assertThat(events).containsExactly("c=9", "-b");
            assertThat(mirror.find("a")).isPresent();
            assertThat(mirror.revision()).isEqualTo(StoreRevision.withoutEra(9));
        }

        @Test
        void should_delay_a_removal_when_a_peer_received_it_shortly_after_an_outage() {
            load();
            mirror.applyPeerChanges(new StoreChanges(
                    StoreRevision.withoutEra(9), List.of(), List.of(removal("a", 9)), false, Duration.ofMillis(400)));
            advance(1_400);
            assertThat(events).isEmpty();

            advance(200);

            assertThat(events).containsExactly("-a");
        }

        @Test
        void should_return_the_changes_after_a_revision_when_all_removals_are_recorded() {
            load();
            store.complete(page(8, item("c", 6), removal("b", 7), item("a", 8)));

            assertThat(mirror.changesAfter(StoreRevision.withoutEra(6), now).items())
                    .usingRecursiveFieldByFieldElementComparator()
                    .containsExactly(item("a", 8));
            assertThat(mirror.changesAfter(StoreRevision.withoutEra(6), now).removals())
                    .usingRecursiveFieldByFieldElementComparator()
                    .containsExactly(removal("b", 7));
            assertThat(mirror.changesAfter(StoreRevision.withoutEra(6), now).isSnapshot())
                    .isFalse();
        }

        @Test
        void should_return_a_snapshot_when_removals_after_the_revision_are_not_recorded() {
            load();

            assertThat(mirror.changesAfter(StoreRevision.withoutEra(4), now).isSnapshot())
                    .isTrue();
            assertThat(mirror.changesAfter(StoreRevision.withoutEra(4), now).items())
                    .usingRecursiveFieldByFieldElementComparator()
                    .containsExactlyInAnyOrder(item("a", 3), item("b", 4));
        }

        /** Guards against an item that stays at the peer, since it came and went while this mirror lost the history. */
        @Test
        void should_return_a_snapshot_when_the_items_have_been_listed_again_since_the_revision() {
            load();
            now = now.plus(Duration.ofSeconds(1));
            store.complete(new StoreResult.Rejected<>("410"));
            store.complete(page(9, item("a", 3), item("b", 4)));

            assertThat(mirror.changesAfter(StoreRevision.withoutEra(7), now).isSnapshot())
                    .isTrue();
            assertThat(mirror.changesAfter(StoreRevision.withoutEra(9), now).isSnapshot())
                    .isFalse();
        }

        /** Guards against an item that stays at the peer, since it was written and removed within one response. */
        @Test
        void should_return_the_removal_of_an_item_that_it_never_knew() {
            load();
            store.complete(page(8, removal("c", 8)));

            assertThat(mirror.changesAfter(StoreRevision.withoutEra(7), now).removals())
                    .usingRecursiveFieldByFieldElementComparator()
                    .containsExactly(removal("c", 8));
        }

        @Test
        void should_not_bring_an_item_back_when_a_watch_is_answered_later_than_a_relay_without_it() {
            load();
            mirror.applyPeerChanges(snapshot(9, item("a", 3), item("b", 4)));
            events.clear();

            store.complete(page(7, item("c", 6), item("a", 7)));

            assertThat(events).containsExactly("a=7");
            assertThat(mirror.find("c")).isEmpty();
        }

        /** After each update, a mirror that is fed by a peer has the same items as the peer. */
        @Test
        void should_equal_the_mirror_of_a_peer_when_it_has_applied_its_changes() {
            for (long seed = 1; seed <= 50; seed++) {
                Random random = new Random(seed);
                ScriptedStore sourceStore = new ScriptedStore();
                StoreMirror source =
                        new StoreMirror(loop, () -> now, sourceStore, new RecordingListener(), () -> Duration.ZERO);
                StoreMirror relayed = new StoreMirror(
                        loop, () -> now, new ScriptedStore(), new RecordingListener(), () -> Duration.ZERO);
                source.start();
                sourceStore.complete(page(1));
                long revision = 1;
                for (int step = 0; step < 200; step++) {
                    List<StoreItem> changes = new ArrayList<>();
                    for (int change = random.nextInt(4); change >= 0; change--) {
                        String key = "k" + random.nextInt(12);
                        revision++;
                        changes.add(random.nextInt(3) == 0 ? removal(key, revision) : item(key, revision));
                    }
                    changes.forEach(change -> source.applyPeerChanges(
                            change.isRemoved()
                                    ? new StoreChanges(change.revision(), List.of(), List.of(change), false, LONG_AGO)
                                    : new StoreChanges(
                                            change.revision(), List.of(change), List.of(), false, LONG_AGO)));
                    if (random.nextInt(3) == 0) {
                        relayed.applyPeerChanges(source.changesAfter(relayed.revision(), now));
                        assertThat(relayed.changesAfter(StoreRevision.withoutEra(0), now)
                                        .items())
                                .as("seed %s step %s", seed, step)
                                .containsExactlyInAnyOrderElementsOf(
                                        source.changesAfter(StoreRevision.withoutEra(0), now)
                                                .items());
                    }
                }
            }
        }
    }

    @Nested
    class Following {

        @Test
        void should_watch_from_the_latest_revision_when_it_is_enabled_again() {
            load();
            mirror.setFollowing(false);
            store.complete(page(6));
            assertThat(store.pendingCallbacks).isEmpty();
            mirror.applyPeerChanges(
                    new StoreChanges(StoreRevision.withoutEra(9), List.of(), List.of(), false, LONG_AGO));

            mirror.setFollowing(true);

            assertThat(store.calls.peekLast()).isEqualTo("watch 9");
        }

        @Test
        void should_be_current_when_the_store_has_responded_recently() {
            load();
            assertThat(mirror.isCurrent(now)).isTrue();
            assertThat(mirror.isCurrent(now.plus(Duration.ofSeconds(3)))).isFalse();

            store.complete(new StoreResult.Unavailable<>("no answer"));
            assertThat(mirror.isCurrent(now)).isFalse();
        }

        @Test
        void should_not_be_current_when_a_response_is_read_long_after_its_call() {
            load();
            MonotonicTime sentAt = now;

            now = now.plus(Duration.ofSeconds(5));
            store.complete(page(6, item("c", 6)));

            assertThat(mirror.isCurrent(now)).isFalse();
            assertThat(mirror.knownAsOf()).contains(sentAt);
        }

        @Test
        void should_not_know_the_store_of_later_when_a_peer_reports_changes() {
            load();
            MonotonicTime sentAt = now;

            now = now.plus(Duration.ofSeconds(1));
            mirror.applyPeerChanges(
                    new StoreChanges(StoreRevision.withoutEra(9), List.of(), List.of(), false, LONG_AGO));

            assertThat(mirror.knownAsOf()).contains(sentAt);
        }

        @Test
        void should_not_be_current_when_it_is_disabled() {
            load();
            mirror.setFollowing(false);

            assertThat(mirror.isCurrent(now)).isFalse();
        }
    }
}
