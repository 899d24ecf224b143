package org.pollenhoist.serving.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.store.Store;
import org.pollenhoist.serving.store.StoreAnswer;
import org.pollenhoist.serving.store.StorePage;

class LeadershipTest {

    private static final Duration TURN = Duration.ofSeconds(3);
    private static final MonotonicTime START = MonotonicTime.of(Duration.ofSeconds(100));
    private static final byte[] OTHER = "other".getBytes(StandardCharsets.UTF_8);
    private static final byte[] OWN = "own 1".getBytes(StandardCharsets.UTF_8);

    private final FakeStore store = new FakeStore();

    private Leadership candidate(boolean isFirstStart) {
        return new Leadership(store, "leader", "own 1", TURN, isFirstStart, START);
    }

    private static MonotonicTime after(long milliseconds) {
        return START.plus(Duration.ofMillis(milliseconds));
    }

    @Nested
    class Taking {

        @Test
        void should_order_at_once_when_no_vm_can_have_ordered_before() {
            Leadership leadership = candidate(true);

            leadership.tick(Optional.empty(), 0, true, START);

            assertThat(leadership.mayOrder(START)).isTrue();
            assertThat(leadership.fencingToken()).isEqualTo(7);
        }

        @Test
        void should_keep_silent_for_a_turn_after_another_vm() {
            Leadership leadership = candidate(true);
            leadership.tick(Optional.of(OTHER), 3, true, START);

            leadership.tick(Optional.empty(), 0, true, START);
            leadership.tick(Optional.of(OWN), 7, true, after(2_900));

            assertThat(leadership.mayOrder(after(2_900))).isFalse();
            assertThat(leadership.mayOrder(after(3_000))).isTrue();
        }

        @Test
        void should_not_apply_while_another_vm_holds_the_record() {
            candidate(false).tick(Optional.of(OTHER), 3, true, START);

            assertThat(store.calls).isEmpty();
        }

        @Test
        void should_not_lead_when_the_claim_was_rejected() {
            store.claim = new StoreAnswer.Rejected<>("412");
            Leadership leadership = candidate(true);

            leadership.tick(Optional.empty(), 0, true, START);

            assertThat(leadership.isHolder()).isFalse();
            assertThat(store.calls).containsExactly("grant", "commit", "end");
        }

        @Test
        void should_lead_when_the_answer_to_a_claim_that_took_effect_was_lost() {
            store.claim = new StoreAnswer.Unavailable<>("no answer");
            Leadership leadership = candidate(false);
            leadership.tick(Optional.empty(), 0, true, START);
            assertThat(leadership.isHolder()).isFalse();

            leadership.tick(Optional.of(OWN), 9, true, after(1_000));

            assertThat(leadership.isHolder()).isTrue();
            assertThat(leadership.fencingToken()).isEqualTo(9);
            assertThat(leadership.mayOrder(after(1_000))).isFalse();
        }
    }

    @Nested
    class Losing {

        @Test
        void should_stop_ordering_before_the_store_lets_the_lease_end() {
            Leadership leadership = candidate(true);
            leadership.tick(Optional.empty(), 0, true, START);
            store.renewal = new StoreAnswer.Unavailable<>("no answer");
            leadership.tick(Optional.of(OWN), 7, true, after(1_000));

            assertThat(leadership.mayOrder(after(2_499))).isTrue();
            assertThat(leadership.mayOrder(after(2_500))).isFalse();
        }

        @Test
        void should_not_order_when_woken_from_a_suspension_longer_than_the_lease() {
            Leadership leadership = candidate(true);
            leadership.tick(Optional.empty(), 0, true, START);

            assertThat(leadership.mayOrder(after(60_000))).isFalse();
        }

        @Test
        void should_resign_when_the_store_says_that_the_lease_has_ended() {
            Leadership leadership = candidate(true);
            leadership.tick(Optional.empty(), 0, true, START);
            store.renewal = new StoreAnswer.Rejected<>("404");

            leadership.tick(Optional.of(OWN), 7, true, after(1_000));

            assertThat(leadership.isHolder()).isFalse();
            assertThat(leadership.mayOrder(after(1_000))).isFalse();
        }

        @Test
        void should_stop_ordering_at_once_when_the_process_stops() {
            Leadership leadership = candidate(true);
            leadership.tick(Optional.empty(), 0, true, START);

            leadership.stop();

            assertThat(leadership.mayOrder(START)).isFalse();
        }
    }

    /** Answers each call at once. */
    private static final class FakeStore implements Store {

        private final List<String> calls = new ArrayList<>();
        private StoreAnswer<Long> claim = new StoreAnswer.Success<>(7L);
        private StoreAnswer<Duration> renewal = new StoreAnswer.Success<>(TURN);

        @Override
        public void list(String prefix, String afterKey, Consumer<StoreAnswer<StorePage>> answer) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void watch(String prefix, long afterRevision, Duration wait, Consumer<StoreAnswer<StorePage>> answer) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void commit(
                List<Condition> conditions,
                List<Write> writes,
                List<String> removals,
                Consumer<StoreAnswer<Long>> answer) {
            calls.add("commit");
            answer.accept(claim);
        }

        @Override
        public void grantLease(Duration duration, Consumer<StoreAnswer<Long>> answer) {
            calls.add("grant");
            answer.accept(new StoreAnswer.Success<>(1L));
        }

        @Override
        public void renewLease(long lease, Consumer<StoreAnswer<Duration>> answer) {
            calls.add("renew");
            answer.accept(renewal);
        }

        @Override
        public void endLease(long lease) {
            calls.add("end");
        }
    }
}
