package org.pollenhoist.serving.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.channel.DefaultEventLoop;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;

class StoreMirrorTest {

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final ScriptedStore store = new ScriptedStore();
    private final List<String> heard = new ArrayList<>();
    private MonotonicTime now = MonotonicTime.of(Duration.ofSeconds(100));
    private final StoreMirror mirror =
            new StoreMirror(loop, () -> now, store, new Listener(), () -> ChangeBatchingDelay.SHORTEST);

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.SECONDS);
    }

    /** An outage that is long over. */
    private static final Duration LONG_AGO = Duration.ofHours(1);

    private static StoreItem item(String key, long revision) {
        return new StoreItem(key, new byte[0], revision, false);
    }

    private static StoreItem removal(String key, long revision) {
        return new StoreItem(key, new byte[0], revision, true);
    }

    private static StoreResult<StorePage> page(long revision, StoreItem... items) {
        return new StoreResult.Success<>(new StorePage(List.of(items), revision, false));
    }

    private static StoreChanges whole(long revision, StoreItem... items) {
        return new StoreChanges(revision, List.of(items), List.of(), true, LONG_AGO);
    }

    private void load() {
        mirror.start();
        store.answer(page(5, item("a", 3), item("b", 4)));
        heard.clear();
    }

    private void pass(long milliseconds) {
        now = now.plus(Duration.ofMillis(milliseconds));
        mirror.applyDueRemovals(now);
    }

    @Nested
    class Reading {

        @Test
        void should_tell_all_items_and_watch_from_their_revision() {
            mirror.start();
            store.answer(page(5, item("a", 3), item("b", 4)));

            assertThat(heard).containsExactly("a=3", "b=4", "listed");
            assertThat(store.calls.peekLast()).isEqualTo("watch 5");
        }

        @Test
        void should_go_on_after_the_last_key_of_a_page() {
            mirror.start();
            store.answer(new StoreResult.Success<>(new StorePage(List.of(item("a", 3)), 5, true)));

            assertThat(store.calls.peekLast()).isEqualTo("list a");
        }

        @Test
        void should_read_anew_when_the_history_is_gone_and_drop_what_is_missing() {
            load();
            store.answer(new StoreResult.Rejected<>("410"));
            store.answer(page(9, item("b", 4)));

            assertThat(heard).containsExactly("-a", "listed");
        }
    }

    @Nested
    class Watching {

        @Test
        void should_tell_changes_once() {
            load();
            store.answer(page(7, item("a", 6), item("a", 6), removal("b", 7)));

            assertThat(heard).containsExactly("a=6", "-b");
            assertThat(mirror.revision()).isEqualTo(7);
        }

        @Test
        void should_gather_the_changes_of_a_moment_before_it_asks_again() {
            load();
            store.answer(page(6, item("a", 6)));
            assertThat(store.waiting).isEmpty();

            await().until(() -> store.waiting.size() == 1);
            store.answer(page(6));

            assertThat(store.waiting).hasSize(1);
        }

        @Test
        void should_ignore_what_is_older_than_known() {
            load();
            store.answer(page(7, item("a", 2)));

            assertThat(heard).isEmpty();
        }
    }

    @Nested
    class Outage {

        private void outage() {
            load();
            store.answer(new StoreResult.Unavailable<>("no answer"));
            loop.submit(() -> {}).syncUninterruptibly();
            await().until(() -> store.waiting.size() == 1);
        }

        @Test
        void should_hold_a_removal_back_for_a_server_that_may_return() {
            outage();
            store.answer(page(8, removal("a", 8)));
            pass(1_800);
            assertThat(heard).isEmpty();

            pass(200);

            assertThat(heard).containsExactly("-a");
        }

        @Test
        void should_tell_a_removal_at_once_where_nobody_writes_the_entry_again() {
            outage();
            store.answer(page(8, removal("b", 8)));

            assertThat(heard).containsExactly("-b");
        }

        @Test
        void should_forget_a_held_removal_when_the_entry_is_back() {
            outage();
            store.answer(page(8, removal("a", 8)));
            await().until(() -> store.waiting.size() == 1);
            store.answer(page(9, item("a", 9)));
            pass(3_000);

            assertThat(heard).containsExactly("a=9");
        }
    }

    @Nested
    class Relay {

        @Test
        void should_take_newer_items_over() {
            load();
            mirror.applyPeerChanges(whole(9, item("b", 8), item("c", 9)));

            assertThat(heard).containsExactly("b=8", "c=9", "-a", "listed");
            assertThat(mirror.revision()).isEqualTo(9);
        }

        @Test
        void should_ignore_what_a_peer_knows_less_of() {
            load();
            mirror.applyPeerChanges(whole(4));

            assertThat(heard).isEmpty();
        }

        @Test
        void should_take_over_what_has_changed_without_taking_it_for_all_there_is() {
            load();
            mirror.applyPeerChanges(
                    new StoreChanges(9, List.of(item("c", 9)), List.of(removal("b", 8)), false, LONG_AGO));

            assertThat(heard).containsExactly("c=9", "-b");
            assertThat(mirror.find("a")).isPresent();
            assertThat(mirror.revision()).isEqualTo(9);
        }

        @Test
        void should_hold_a_removal_back_that_a_peer_saw_just_after_an_outage() {
            load();
            mirror.applyPeerChanges(
                    new StoreChanges(9, List.of(), List.of(removal("a", 9)), false, Duration.ofMillis(400)));
            pass(1_400);
            assertThat(heard).isEmpty();

            pass(200);

            assertThat(heard).containsExactly("-a");
        }

        @Test
        void should_tell_a_peer_what_has_changed_since_its_revision() {
            load();
            store.answer(page(8, item("c", 6), removal("b", 7), item("a", 8)));

            assertThat(mirror.changesAfter(6, now).items())
                    .usingRecursiveFieldByFieldElementComparator()
                    .containsExactly(item("a", 8));
            assertThat(mirror.changesAfter(6, now).removals())
                    .usingRecursiveFieldByFieldElementComparator()
                    .containsExactly(removal("b", 7));
            assertThat(mirror.changesAfter(6, now).isSnapshot()).isFalse();
        }

        @Test
        void should_tell_a_peer_everything_that_knows_less_than_the_removals_that_are_remembered() {
            load();

            assertThat(mirror.changesAfter(4, now).isSnapshot()).isTrue();
            assertThat(mirror.changesAfter(4, now).items())
                    .usingRecursiveFieldByFieldElementComparator()
                    .containsExactlyInAnyOrder(item("a", 3), item("b", 4));
        }

        /** What a follower knows after any pull is what the watching mirror knew then. */
        @Test
        void should_keep_a_follower_equal_to_the_one_that_watches() {
            for (long seed = 1; seed <= 50; seed++) {
                Random random = new Random(seed);
                ScriptedStore watched = new ScriptedStore();
                StoreMirror watching = new StoreMirror(loop, () -> now, watched, new Listener(), () -> Duration.ZERO);
                StoreMirror following =
                        new StoreMirror(loop, () -> now, new ScriptedStore(), new Listener(), () -> Duration.ZERO);
                watching.start();
                watched.answer(page(1));
                long revision = 1;
                for (int step = 0; step < 200; step++) {
                    List<StoreItem> changes = new ArrayList<>();
                    for (int change = random.nextInt(4); change >= 0; change--) {
                        String key = "k" + random.nextInt(12);
                        revision++;
                        changes.add(random.nextInt(3) == 0 ? removal(key, revision) : item(key, revision));
                    }
                    changes.forEach(change -> watching.applyPeerChanges(
                            change.isRemoved()
                                    ? new StoreChanges(change.revision(), List.of(), List.of(change), false, LONG_AGO)
                                    : new StoreChanges(
                                            change.revision(), List.of(change), List.of(), false, LONG_AGO)));
                    if (random.nextInt(3) == 0) {
                        following.applyPeerChanges(watching.changesAfter(following.revision(), now));
                        assertThat(following.changesAfter(0, now).items())
                                .as("seed %s step %s", seed, step)
                                .containsExactlyInAnyOrderElementsOf(
                                        watching.changesAfter(0, now).items());
                    }
                }
            }
        }
    }

    @Nested
    class Following {

        @Test
        void should_end_with_the_watch_under_way_and_go_on_from_the_revision_known_then() {
            load();
            mirror.setFollowing(false);
            store.answer(page(6));
            assertThat(store.waiting).isEmpty();
            mirror.applyPeerChanges(new StoreChanges(9, List.of(), List.of(), false, LONG_AGO));

            mirror.setFollowing(true);

            assertThat(store.calls.peekLast()).isEqualTo("watch 9");
        }

        @Test
        void should_be_current_while_the_store_answers() {
            load();
            assertThat(mirror.isCurrent(now)).isTrue();
            assertThat(mirror.isCurrent(now.plus(Duration.ofSeconds(3)))).isFalse();

            store.answer(new StoreResult.Unavailable<>("no answer"));
            assertThat(mirror.isCurrent(now)).isFalse();
        }

        @Test
        void should_not_be_current_where_it_has_ended() {
            load();
            mirror.setFollowing(false);

            assertThat(mirror.isCurrent(now)).isFalse();
        }
    }

    private final class Listener implements StoreMirror.Listener {

        @Override
        public void onWritten(StoreItem item) {
            heard.add(item.key() + "=" + item.revision());
        }

        @Override
        public void onRemoved(String key) {
            heard.add("-" + key);
        }

        @Override
        public void onListed() {
            heard.add("listed");
        }

        @Override
        public boolean mayBeRewritten(String key) {
            return !key.equals("b");
        }
    }

    /** Keeps calls until the test answers them. */
    private static final class ScriptedStore implements Store {

        private final Deque<String> calls = new ArrayDeque<>();
        private final Deque<Consumer<StoreResult<StorePage>>> waiting =
                new java.util.concurrent.ConcurrentLinkedDeque<>();

        private void answer(StoreResult<StorePage> answer) {
            waiting.removeFirst().accept(answer);
        }

        @Override
        public void list(String prefix, String afterKey, Consumer<StoreResult<StorePage>> answer) {
            calls.add("list " + afterKey);
            waiting.add(answer);
        }

        @Override
        public void watch(String prefix, long afterRevision, Duration wait, Consumer<StoreResult<StorePage>> answer) {
            calls.add("watch " + afterRevision);
            waiting.add(answer);
        }

        @Override
        public void commit(
                List<Condition> conditions,
                List<Write> writes,
                List<String> removals,
                Consumer<StoreResult<Long>> answer) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void grantLease(Duration duration, Consumer<StoreResult<Long>> answer) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void renewLease(long lease, Consumer<StoreResult<Duration>> answer) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void endLease(long lease) {
            throw new UnsupportedOperationException();
        }
    }
}
