package org.pollenhoist.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.common.VmName;

class ShareTableTest {

    private static final TeamName CREWS = TeamName.of("harbour-crews");
    private static final TeamLimit LIMIT = new TeamLimit(100, 1000);
    private static final VmName FIRST = VmName.of("piraeus-1");
    private static final VmName SECOND = VmName.of("piraeus-2");
    private static final long FIRST_INCARNATION = 11;
    private static final long SECOND_INCARNATION = 22;

    private final ShareTable first = ShareTable.empty(ShareSettings.defaults(), FIRST_INCARNATION);
    private final ShareTable second = ShareTable.empty(ShareSettings.defaults(), SECOND_INCARNATION);

    private static MonotonicTime at(double seconds) {
        return new MonotonicTime((long) (seconds * 1e9));
    }

    private static HomeShare half(double from, double until) {
        return new HomeShare(List.of(new HomeShare.Piece(Parts.WHOLE / 2, at(from), at(until))));
    }

    @BeforeEach
    void giveEachVmHalfOfTheLimit() {
        for (ShareTable table : List.of(first, second)) {
            table.setLimits(Map.of(CREWS, LIMIT), at(0));
            table.setHome(half(0, 1_000), at(0));
        }
        first.setPeers(List.of(SECOND));
        second.setPeers(List.of(FIRST));
    }

    private static Reservation admitted(Admission admission) {
        assertThat(admission).isInstanceOf(Admission.Admitted.class);
        return ((Admission.Admitted) admission).reservation();
    }

    private static Admission.AskPeers asking(Admission admission) {
        assertThat(admission).isInstanceOf(Admission.AskPeers.class);
        return (Admission.AskPeers) admission;
    }

    private double level(ShareTable table, double seconds) {
        return table.status(CREWS, at(seconds)).orElseThrow().levelTokens();
    }

    /** Sends a question of the first VM to the second one and returns the answer. */
    private ShareMessage answer(Outgoing question, double seconds) {
        List<Outgoing> answers = second.onMessage(FIRST, FIRST_INCARNATION, question.message(), at(seconds));
        assertThat(answers).hasSize(1);
        return answers.get(0).message();
    }

    @Nested
    class Admit {

        @Test
        void should_begin_with_an_empty_level_when_the_vm_is_fresh() {
            assertThat(level(first, 0)).isZero();
        }

        @Test
        void should_admit_when_the_level_covers_the_bound() {
            Reservation reservation = admitted(first.admit(CREWS, 300, at(10)));

            assertThat(reservation.boundTokens()).isEqualTo(300);
            assertThat(level(first, 10)).isEqualTo(200);
        }

        @Test
        void should_refuse_for_good_when_the_bound_exceeds_the_burst() {
            assertThat(first.admit(CREWS, 1001, at(10)))
                    .isEqualTo(new Admission.Refused(Refusal.LARGER_THAN_BURST, Optional.empty()));
        }

        @Test
        void should_refuse_when_the_team_is_unknown() {
            assertThat(first.admit(TeamName.of("nobody"), 1, at(10)))
                    .isEqualTo(new Admission.Refused(Refusal.UNKNOWN_TEAM, Optional.empty()));
        }

        @Test
        void should_ask_peers_when_the_level_does_not_cover_the_bound() {
            Admission.AskPeers question = asking(first.admit(CREWS, 300, at(4)));

            assertThat(question.messages()).hasSize(1);
            assertThat(question.messages().get(0).to()).isEqualTo(SECOND);
        }

        @Test
        void should_refuse_at_once_with_the_time_to_refill_when_no_vm_can_have_the_tokens() {
            ShareMessage.Status status =
                    new ShareMessage.Status(List.of(new ShareMessage.TeamStatus(CREWS, 0, 0, 0, 0)));
            first.onMessage(SECOND, SECOND_INCARNATION, status, at(4));

            assertThat(first.admit(CREWS, 300, at(4)))
                    .isEqualTo(new Admission.Refused(Refusal.LIMIT_REACHED, Optional.of(Duration.ofSeconds(1))));
        }

        @Test
        void should_refuse_when_the_home_share_ended_while_the_process_was_paused() {
            first.setPeers(List.of());
            first.setHome(half(0, 60), at(30));

            Admission onWaking = first.admit(CREWS, 1, at(61));

            assertThat(onWaking).isInstanceOf(Admission.Refused.class);
            assertThat(((Admission.Refused) onWaking).reason()).isEqualTo(Refusal.NO_SHARE);
        }
    }

    @Nested
    class Retry {

        @Test
        void should_admit_when_a_peer_gave_the_missing_tokens() {
            Admission.AskPeers question = asking(first.admit(CREWS, 500, at(9)));
            ShareMessage loan = answer(question.messages().get(0), 9);

            first.onMessage(SECOND, SECOND_INCARNATION, loan, at(9.002));

            admitted(first.retry(question.waiting(), at(9.002)));
            assertThat(level(second, 9.002)).isLessThanOrEqualTo(401);
        }

        @Test
        void should_gather_capacity_too_when_the_bound_exceeds_this_vms_capacity() {
            Admission.AskPeers question = asking(first.admit(CREWS, 900, at(10)));
            ShareMessage loan = answer(question.messages().get(0), 10);

            first.onMessage(SECOND, SECOND_INCARNATION, loan, at(10.002));

            admitted(first.retry(question.waiting(), at(10.002)));
        }

        @Test
        void should_refuse_when_the_deadline_passed_without_an_answer() {
            Admission.AskPeers question = asking(first.admit(CREWS, 500, at(9)));

            assertThat(first.retry(question.waiting(), at(9.07))).isInstanceOf(Admission.Refused.class);
        }
    }

    @Nested
    class OnMessage {

        @Test
        void should_add_tokens_once_when_a_loan_arrives_twice() {
            Admission.AskPeers question = asking(first.admit(CREWS, 300, at(4)));
            ShareMessage loan = answer(question.messages().get(0), 4);

            first.onMessage(SECOND, SECOND_INCARNATION, loan, at(4.002));
            double once = level(first, 4.002);
            first.onMessage(SECOND, SECOND_INCARNATION, loan, at(4.002));

            assertThat(level(first, 4.002)).isEqualTo(once);
        }

        @Test
        void should_debit_the_lender_before_the_loan_arrives() {
            Admission.AskPeers question = asking(first.admit(CREWS, 300, at(4)));

            ShareMessage.Loan loan =
                    (ShareMessage.Loan) answer(question.messages().get(0), 4);

            assertThat(level(second, 4)).isEqualTo(200 - loan.tokens());
        }

        @Test
        void should_ignore_a_loan_when_it_answers_an_earlier_process() {
            ShareMessage.Loan loan = new ShareMessage.Loan(
                    CREWS, 99, 1, SECOND_INCARNATION, 1, 1, 1000, 1000, Duration.ofSeconds(30), 50, 0);

            first.onMessage(SECOND, SECOND_INCARNATION, loan, at(0));

            assertThat(level(first, 0)).isZero();
        }
    }
}
