package org.pollenhoist.serving.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StoreResult;
import org.pollenhoist.serving.store.StoreRevision;

class LeadershipTest extends LeadershipFixture {

    /** Milliseconds without orders of a VM when its claim expires: half a lease minus the clock tolerance. */
    private static final long SILENCE_AT_EXPIRY = 1_300;

    @Nested
    class Claiming {

        @Test
        void should_send_orders_at_once_when_no_vm_can_have_sent_any_before() {
            Leadership leadership = readyLeader();

            assertThat(leadership.maySendOrders(START)).isTrue();
            assertThat(leadership.fencingToken()).isEqualTo(7);
        }

        @Test
        void should_not_send_orders_before_its_claim_is_seen_in_the_stores_history() {
            Leadership leadership = candidate(true);
            leadership.tick(true, START);

            assertThat(leadership.isHolder()).isTrue();
            assertThat(leadership.maySendOrders(START)).isFalse();
        }

        @Test
        void should_send_no_orders_for_a_handover_interval_after_another_vm() {
            Leadership leadership = candidate(true);
            leadership.onRecord(claimOfOther(3), START.plus(Duration.ofSeconds(-5)));
            leadership.onRecord(Optional.empty(), START);

            leadership.tick(true, after(1_000));
            leadership.onRecord(ownClaim(7), after(1_000));

            assertThat(leadership.maySendOrders(after(2_999 - SILENCE_AT_EXPIRY)))
                    .isFalse();
            assertThat(leadership.maySendOrders(after(3_000 - SILENCE_AT_EXPIRY)))
                    .isTrue();
        }

        @Test
        void should_send_no_orders_for_a_handover_interval_after_another_vm_that_held_the_claim_briefly() {
            Leadership leadership = candidate(true);
            leadership.tick(true, START);
            leadership.onRecord(claimOfOther(5), after(100));
            leadership.onRecord(Optional.empty(), after(110));
            leadership.onRecord(ownClaim(7), after(120));

            assertThat(leadership.maySendOrders(after(2_400))).isFalse();
        }

        @Test
        void should_send_no_orders_for_a_handover_interval_after_a_restart() {
            Leadership leadership = candidate(false);
            leadership.tick(true, START);
            leadership.onRecord(ownClaim(7), START);
            store.renewal = new StoreResult.Success<>(Duration.ofSeconds(10));
            leadership.tick(true, after(500));

            assertThat(leadership.maySendOrders(after(2_999))).isFalse();
            assertThat(leadership.maySendOrders(after(3_000))).isTrue();
        }

        @Test
        void should_send_no_orders_for_a_handover_interval_after_missed_changes() {
            Leadership leadership = candidate(true);
            leadership.onMissedChanges(after(1_000));
            leadership.tick(true, after(1_500));
            leadership.onRecord(ownClaim(7), after(1_500));
            leadership.tick(true, after(2_000));

            assertThat(leadership.maySendOrders(after(3_999 - SILENCE_AT_EXPIRY)))
                    .isFalse();
            assertThat(leadership.maySendOrders(after(4_000 - SILENCE_AT_EXPIRY)))
                    .isTrue();
        }

        @Test
        void should_not_apply_while_another_vm_holds_the_claim() {
            Leadership leadership = candidate(false);
            leadership.onRecord(claimOfOther(3), START);
            leadership.tick(true, START);

            assertThat(store.calls).isEmpty();
        }

        @Test
        void should_not_lead_when_the_claim_was_rejected() {
            store.claim = new StoreResult.Rejected<>("412");
            Leadership leadership = candidate(true);

            leadership.tick(true, START);

            assertThat(leadership.isHolder()).isFalse();
            assertThat(store.calls).containsExactly("grant", "commit 0", "end");
        }

        @Test
        void should_not_replace_a_claim_that_was_made_while_its_lease_was_granted() {
            Leadership leadership = candidate(true);
            store.whileGranting = () -> leadership.onRecord(claimOfOther(5), after(900));

            leadership.tick(true, START);

            assertThat(leadership.isHolder()).isFalse();
            assertThat(store.calls).containsExactly("grant", "end");
        }

        @Test
        void should_lead_when_the_response_to_a_claim_that_took_effect_was_lost() {
            store.claim = new StoreResult.Unavailable<>("no response");
            Leadership leadership = candidate(false);
            leadership.tick(true, START);
            assertThat(leadership.isHolder()).isFalse();

            leadership.onRecord(ownClaim(9), after(400));
            leadership.tick(true, after(1_000));

            assertThat(leadership.isHolder()).isTrue();
            assertThat(leadership.fencingToken()).isEqualTo(9);
            assertThat(leadership.maySendOrders(after(1_000))).isFalse();
        }

        @Test
        void should_not_mistake_an_earlier_claim_of_its_own_for_the_one_whose_lease_it_renews() {
            store.claim = new StoreResult.Unavailable<>("no response");
            Leadership leadership = candidate(false);
            leadership.tick(true, START);
            Optional<StoreItem> late = ownClaim(9);
            leadership.tick(true, after(600));

            leadership.onRecord(late, after(700));
            leadership.tick(true, after(1_200));

            assertThat(leadership.isHolder()).isFalse();
        }
    }

    @Nested
    class LosingTheLease {

        @Test
        void should_stop_sending_orders_half_a_lease_before_the_lease_expires() {
            Leadership leadership = readyLeader();

            assertThat(leadership.maySendOrders(after(1_499))).isTrue();
            assertThat(leadership.maySendOrders(after(1_500))).isFalse();
        }

        @Test
        void should_not_send_orders_when_resumed_after_a_suspension_longer_than_the_lease() {
            assertThat(readyLeader().maySendOrders(after(60_000))).isFalse();
        }

        @Test
        void should_lose_the_leadership_when_the_store_reports_that_the_lease_has_ended() {
            Leadership leadership = readyLeader();
            store.renewal = new StoreResult.Rejected<>("404");

            leadership.tick(true, after(1_000));

            assertThat(leadership.isHolder()).isFalse();
            assertThat(leadership.maySendOrders(after(1_000))).isFalse();
        }

        @Test
        void should_lose_the_leadership_when_its_claim_is_removed_from_the_store() {
            Leadership leadership = readyLeader();

            leadership.onRecord(Optional.empty(), after(500));

            assertThat(leadership.isHolder()).isFalse();
        }

        @Test
        void should_send_orders_again_at_once_when_no_other_vm_held_the_claim_meanwhile() {
            Leadership leadership = readyLeader();
            leadership.onRecord(Optional.empty(), after(500));

            store.claim = FakeClaimStore.granted(11);
            leadership.tick(true, after(600));
            leadership.onRecord(ownClaim(11), after(600));

            assertThat(leadership.maySendOrders(after(600))).isTrue();
        }

        @Test
        void should_stop_sending_orders_at_once_when_the_process_stops() {
            Leadership leadership = readyLeader();

            leadership.stop();

            assertThat(leadership.maySendOrders(START)).isFalse();
        }
    }

    @Nested
    class Expiry {

        /** The last renewal of the failed leader reaches the store late; the successor sees the expiry at once. */
        private void expire(long renewedAt, long renewalDelay, boolean isSuccessorNew) {
            Leadership failedLeader = readyLeader();
            failedLeader.tick(true, after(renewedAt));
            long expiredAt = renewedAt + renewalDelay + HANDOVER_INTERVAL.toMillis();
            long lastOrderAt = expiredAt;
            while (!failedLeader.maySendOrders(after(lastOrderAt))) {
                lastOrderAt--;
            }

            Leadership successor = candidate(!isSuccessorNew);
            successor.onRecord(claimOfOther(3), after(-5_000));
            if (isSuccessorNew) {
                successor.onMissedChanges(after(expiredAt - 100));
            }
            successor.onRecord(Optional.empty(), after(expiredAt));
            successor.tick(true, after(expiredAt));
            successor.onRecord(ownClaim(9), after(expiredAt));
            long firstOrderAt = expiredAt;
            while (!successor.maySendOrders(after(firstOrderAt))) {
                successor.tick(true, after(firstOrderAt));
                firstOrderAt++;
            }

            assertThat(firstOrderAt - lastOrderAt)
                    .isGreaterThanOrEqualTo(HANDOVER_INTERVAL.toMillis())
                    .isLessThan(HANDOVER_INTERVAL.toMillis() + 1_000);
        }

        @Test
        void should_keep_the_orders_of_two_vms_a_handover_interval_apart() {
            expire(500, 0, false);
            expire(500, 0, true);
        }

        @Test
        void should_keep_the_orders_of_two_vms_a_handover_interval_apart_when_the_last_renewal_was_slow() {
            expire(1_000, 700, false);
            expire(1_000, 700, true);
        }

        @Test
        void should_count_from_the_removal_when_the_claim_was_present_for_less_than_a_lease() {
            Leadership successor = candidate(true);
            successor.onRecord(claimOfOther(3), after(1_000));
            successor.onRecord(Optional.empty(), after(3_900));
            successor.tick(true, after(3_900));
            successor.onRecord(ownClaim(9), after(3_900));
            for (long time = 4_400; time <= 6_500; time += 500) {
                successor.tick(true, after(time));
            }

            assertThat(successor.maySendOrders(after(6_899))).isFalse();
            assertThat(successor.maySendOrders(after(6_900))).isTrue();
        }
    }

    @Nested
    class Resignations {

        @Test
        void should_name_the_claim_and_the_time_of_the_last_order() {
            Leadership leadership = readyLeader();
            leadership.recordOrder(after(300));

            leadership.stop();

            assertThat(leadership.resignation())
                    .contains(new Leadership.Resignation(StoreRevision.withoutEra(7), Optional.of(after(300))));
        }

        @Test
        void should_happen_when_the_lease_could_not_be_renewed_for_a_while() {
            Leadership leadership = readyLeader();
            store.renewal = new StoreResult.Unavailable<>("503");
            leadership.tick(true, after(500));
            leadership.tick(true, after(750));
            leadership.tick(true, after(1_000));
            assertThat(leadership.isHolder()).isTrue();

            leadership.tick(true, after(1_250));

            assertThat(leadership.isHolder()).isFalse();
            assertThat(leadership.resignation()).isPresent();
        }

        @Test
        void should_let_another_vm_replace_the_claim_and_send_orders_a_handover_interval_after_the_last_order() {
            Leadership successor = candidate(true);
            successor.onRecord(claimOfOther(3), START);
            successor.onResignation(new Leadership.Resignation(StoreRevision.withoutEra(3), Optional.of(after(200))));

            successor.tick(true, after(1_000));
            successor.onRecord(ownClaim(9), after(1_010));

            assertThat(store.calls).containsExactly("grant", "commit 3");
            store.renewal = new StoreResult.Success<>(HANDOVER_INTERVAL);
            successor.tick(true, after(1_750));
            assertThat(successor.maySendOrders(after(3_199))).isFalse();
            assertThat(successor.maySendOrders(after(3_200))).isTrue();
        }

        @Test
        void should_let_the_same_vm_claim_again_when_no_other_one_does() {
            Leadership leadership = readyLeader();
            leadership.tick(true, after(500));
            store.renewal = new StoreResult.Unavailable<>("503");
            leadership.tick(true, after(1_750));
            assertThat(leadership.isHolder()).isFalse();

            store.claim = FakeClaimStore.granted(12);
            leadership.tick(true, after(2_500));
            leadership.onRecord(ownClaim(12), after(2_500));

            assertThat(store.calls).endsWith("grant", "commit 7");
            assertThat(leadership.maySendOrders(after(2_500))).isTrue();
        }

        @Test
        void should_let_the_lease_expire_so_that_a_removed_claim_implies_half_a_lease_without_orders() {
            Leadership leadership = readyLeader();

            leadership.stop();

            assertThat(store.calls).doesNotContain("end");
        }

        @Test
        void should_not_count_for_a_later_claim() {
            Leadership successor = candidate(true);
            successor.onRecord(claimOfOther(3), START);
            successor.onResignation(new Leadership.Resignation(StoreRevision.withoutEra(2), Optional.empty()));

            successor.tick(true, after(1_000));

            assertThat(successor.isVacant()).isFalse();
            assertThat(store.calls).isEmpty();
        }

        @Test
        void should_not_shorten_the_handover_interval_after_a_later_claim() {
            Leadership successor = candidate(true);
            successor.onRecord(claimOfOther(3), START);
            successor.onResignation(new Leadership.Resignation(StoreRevision.withoutEra(3), Optional.empty()));
            successor.onRecord(claimOfOther(5), after(500));
            successor.onRecord(Optional.empty(), after(4_000));

            successor.tick(true, after(4_000));
            successor.onRecord(ownClaim(9), after(4_000));
            for (long time = 4_500; time <= 5_500; time += 500) {
                successor.tick(true, after(time));
            }

            assertThat(successor.maySendOrders(after(6_999 - SILENCE_AT_EXPIRY)))
                    .isFalse();
            assertThat(successor.maySendOrders(after(7_000 - SILENCE_AT_EXPIRY)))
                    .isTrue();
        }
    }
}
