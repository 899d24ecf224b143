package org.pollenhoist.serving.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LeadershipTokenTest extends LeadershipFixture {

    /** Guards against orders with a lower fencing token than before, after the store has come back from a copy. */
    @Nested
    class FencingTokens {

        private Leadership leaderThatLostItsClaim(long token) {
            store.nextRevision = token;
            Leadership leadership = candidate(true);
            leadership.tick(true, START);
            leadership.onRecord(ownClaim(token), START);
            assertThat(leadership.fencingToken()).isEqualTo(token);
            leadership.onRecord(Optional.empty(), after(500));
            return leadership;
        }

        private void tickUntil(Leadership leadership, long from, long until) {
            for (long time = from; time <= until; time += 50) {
                leadership.tick(true, after(time));
                if (store.written.length > 0) {
                    leadership.onRecord(ownClaim(store.nextRevision - 1), after(time));
                }
            }
        }

        @Test
        void should_exceed_the_token_that_the_same_vm_used_before_its_claim_was_lost() {
            Leadership leadership = leaderThatLostItsClaim(51);
            store.nextRevision = 47;

            tickUntil(leadership, 600, 1_000);

            assertThat(leadership.isHolder()).isTrue();
            assertThat(leadership.fencingToken()).isEqualTo(52);
        }

        @Test
        void should_exceed_the_token_of_a_leader_that_is_gone_when_a_peer_knows_it() {
            Leadership leadership = candidate(true);
            leadership.onTokenUsed(80);
            store.nextRevision = 47;

            tickUntil(leadership, 0, 1_000);

            assertThat(leadership.fencingToken()).isEqualTo(81);
        }

        @Test
        void should_exceed_the_revision_of_each_claim_that_was_seen_in_the_store() {
            Leadership leadership = candidate(true);
            leadership.onRecord(claimOfOther(51), after(-5_000));
            leadership.onRecord(Optional.empty(), START);
            store.nextRevision = 49;

            tickUntil(leadership, 0, 3_000);

            assertThat(leadership.fencingToken()).isEqualTo(52);
        }

        @Test
        void should_send_no_orders_while_a_peer_knows_a_higher_token() {
            Leadership leadership = readyLeader();
            store.nextRevision = 8;

            leadership.onTokenUsed(9);

            assertThat(leadership.maySendOrders(after(100))).isFalse();
            tickUntil(leadership, 600, 700);
            assertThat(leadership.fencingToken()).isEqualTo(10);
            assertThat(leadership.maySendOrders(after(700))).isTrue();
        }

        @Test
        void should_keep_its_token_when_a_peer_reports_the_same_one() {
            Leadership leadership = readyLeader();

            leadership.onTokenUsed(7);

            assertThat(leadership.maySendOrders(after(100))).isTrue();
        }

        @Test
        void should_tell_peers_the_token_that_it_uses_and_keep_it_after_the_loss_of_its_claim() {
            Leadership leadership = readyLeader();
            assertThat(leadership.highestKnownToken()).isEqualTo(7);

            leadership.onRecord(Optional.empty(), after(500));

            assertThat(leadership.highestKnownToken()).isEqualTo(7);
        }

        @Test
        void should_bound_the_writes_of_one_tick_and_keep_the_lease_when_the_revision_is_far_too_low() {
            Leadership leadership = candidate(true);
            leadership.onTokenUsed(1_000);
            store.nextRevision = 1;

            leadership.tick(true, START);
            assertThat(store.calls.stream().filter(call -> call.startsWith("commit")))
                    .hasSize(9);
            tickUntil(leadership, 50, 6_500);

            assertThat(store.calls).contains("renew").containsOnlyOnce("grant").doesNotContain("end");
            assertThat(leadership.fencingToken()).isEqualTo(1_001);
        }

        @Test
        void should_claim_anew_when_another_vm_has_claimed_meanwhile() {
            Leadership leadership = candidate(true);
            leadership.onTokenUsed(100);
            store.nextRevision = 1;
            leadership.tick(true, START);

            leadership.onRecord(claimOfOther(40), after(20));
            leadership.tick(true, after(50));

            assertThat(leadership.isHolder()).isFalse();
            assertThat(store.calls.stream().filter(call -> call.startsWith("commit")))
                    .hasSize(9);
        }
    }
}
