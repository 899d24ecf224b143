package org.pollenhoist.serving.segment;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.common.VmName;
import org.pollenhoist.request.UpstreamLifetime;

class SegmentQuarantineTest {

    private static final SegmentKey FIRST = new SegmentKey("engines", "first");
    private static final SegmentKey COMPANION = new SegmentKey("engines", "companion");
    private static final SegmentKey CRASHING = new SegmentKey("engines", "crashing");
    private static final VmName PEER = VmName.of("vm-2");

    private final SegmentQuarantine quarantine = new SegmentQuarantine(VmName.of("vm-1"), () -> {});

    private static MonotonicTime at(long milliseconds) {
        return MonotonicTime.of(Duration.ofMillis(milliseconds));
    }

    private static UpstreamLifetime lifetime(int number) {
        return new UpstreamLifetime(UpstreamName.of("i-" + number), 1);
    }

    private void crash(int upstream, long sentAt, long endedAt, SegmentKey... segments) {
        quarantine.recordCrash(List.of(segments), lifetime(upstream), at(sentAt), at(endedAt));
    }

    /** Three crashes, each under a request that was sent after the crash before it. */
    private void convict(SegmentKey... segments) {
        crash(1, 0, 100, segments);
        crash(2, 200, 300, segments);
        crash(3, 400, 500, segments);
    }

    private SegmentAdmission admit(long milliseconds, SegmentKey... segments) {
        return quarantine.admit(List.of(segments), at(milliseconds));
    }

    private SegmentAdmission.Trial startTrial(long milliseconds, SegmentKey... segments) {
        // The trial is claimed first, after a time that differs between VMs.
        for (long time = milliseconds - 800; time < milliseconds; time += 50) {
            if (admit(time, segments) instanceof SegmentAdmission.Trial started) {
                return started;
            }
        }
        return (SegmentAdmission.Trial) admit(milliseconds, segments);
    }

    @Nested
    class Suspicion {

        @Test
        void should_not_restrict_a_segment_after_one_crash() {
            crash(1, 0, 100, CRASHING);

            assertThat(admit(1_000, CRASHING)).isInstanceOf(SegmentAdmission.Unrestricted.class);
        }

        @Test
        void should_run_one_request_at_a_time_after_two_crashes() {
            crash(1, 0, 100, CRASHING);
            crash(2, 0, 100, CRASHING);

            SegmentAdmission.Trial trial = startTrial(1_500, CRASHING);

            assertThat(trial.excluded()).containsExactlyInAnyOrder(UpstreamName.of("i-1"), UpstreamName.of("i-2"));
            assertThat(admit(1_501, FIRST, CRASHING)).isEqualTo(new SegmentAdmission.Wait(CRASHING));
        }

        @Test
        void should_wait_for_refuting_evidence_before_a_trial_is_claimed() {
            crash(1, 0, 100, CRASHING);
            crash(2, 0, 900, CRASHING);

            assertThat(admit(1_000, CRASHING)).isInstanceOf(SegmentAdmission.Wait.class);
            assertThat(quarantine.nextStatements(at(1_000)))
                    .extracting(SegmentStatement::claimedUntil)
                    .containsExactly(Optional.empty());
        }

        @Test
        void should_wait_while_another_vm_claims_the_trial() {
            crash(1, 0, 100, CRASHING);
            crash(2, 0, 100, CRASHING);
            quarantine.receive(
                    PEER, new SegmentStatement(CRASHING, List.of(), Set.of(), Optional.of(at(2_000))), at(500));

            assertThat(admit(1_900, CRASHING)).isInstanceOf(SegmentAdmission.Wait.class);
            assertThat(startTrial(2_600, CRASHING)).isNotNull();
        }

        @Test
        void should_start_a_trial_when_the_other_vm_has_ended_its_own() {
            crash(1, 0, 100, CRASHING);
            crash(2, 0, 100, CRASHING);
            quarantine.receive(
                    PEER, new SegmentStatement(CRASHING, List.of(), Set.of(), Optional.of(at(9_000))), at(500));
            quarantine.receive(PEER, new SegmentStatement(CRASHING, List.of(), Set.of(), Optional.empty()), at(600));

            assertThat(startTrial(1_400, CRASHING)).isNotNull();
        }

        @Test
        void should_end_with_an_answer_that_begins() {
            crash(1, 0, 100, FIRST, CRASHING);
            crash(2, 200, 300, FIRST, CRASHING);

            quarantine.recordBegun(List.of(FIRST), at(310));

            assertThat(admit(1_000, FIRST)).isInstanceOf(SegmentAdmission.Unrestricted.class);
            assertThat(admit(1_000, CRASHING)).isInstanceOf(SegmentAdmission.Wait.class);
        }

        @Test
        void should_not_be_prevented_by_an_answer_that_began_before_the_crashes() {
            quarantine.recordBegun(List.of(CRASHING), at(0));
            crash(1, 10, 100, CRASHING);
            crash(2, 200, 300, CRASHING);

            assertThat(admit(1_000, CRASHING)).isInstanceOf(SegmentAdmission.Wait.class);
        }
    }

    @Nested
    class Verdicts {

        @Test
        void should_refuse_requests_after_three_crashes_in_succession() {
            convict(CRASHING);

            assertThat(admit(1_000, FIRST, CRASHING))
                    .isEqualTo(new SegmentAdmission.Refused(CRASHING, Duration.ofMillis(59_500)));
        }

        @Test
        void should_not_fall_when_many_upstreams_end_at_the_same_moment() {
            for (int upstream = 0; upstream < 50; upstream++) {
                crash(upstream, upstream, 1_000 + upstream, CRASHING);
            }

            assertThat(quarantine.verdicts(at(2_000))).isEmpty();
        }

        @Test
        void should_fall_after_a_second_crash_in_succession_when_five_upstreams_have_crashed() {
            for (int upstream = 0; upstream < 4; upstream++) {
                crash(upstream, upstream, 1_000 + upstream, CRASHING);
            }
            assertThat(quarantine.verdicts(at(2_000))).isEmpty();

            crash(9, 2_000, 2_100, CRASHING);

            assertThat(quarantine.verdicts(at(3_000)))
                    .extracting(SegmentStatement::key)
                    .containsExactly(CRASHING);
        }

        @Test
        void should_fall_after_a_loss_of_many_upstreams_when_further_ones_crash_in_succession() {
            for (int upstream = 0; upstream < 50; upstream++) {
                crash(upstream, upstream, 1_000 + upstream, CRASHING);
            }

            crash(60, 2_000, 2_100, CRASHING);

            assertThat(admit(3_000, CRASHING)).isInstanceOf(SegmentAdmission.Refused.class);
        }

        @Test
        void should_be_lifted_when_an_answer_begins() {
            convict(CRASHING);

            quarantine.recordBegun(List.of(CRASHING), at(600));

            assertThat(admit(1_000, CRASHING)).isInstanceOf(SegmentAdmission.Unrestricted.class);
        }

        @Test
        void should_be_lifted_when_upstreams_have_kept_running() {
            convict(CRASHING);

            quarantine.review((lifetime, endedAt) -> lifetime.equals(lifetime(2)), at(600));

            assertThat(admit(1_000, CRASHING)).isInstanceOf(SegmentAdmission.Wait.class);
        }

        @Test
        void should_be_tried_again_with_delays_that_grow_after_each_crash() {
            convict(CRASHING);

            assertThat(admit(60_499, CRASHING)).isInstanceOf(SegmentAdmission.Refused.class);
            SegmentAdmission.Trial trial = startTrial(61_000, CRASHING);
            crash(4, 61_000, 61_100, CRASHING);
            quarantine.endTrial(trial, at(61_100));

            assertThat(admit(61_300, CRASHING))
                    .isEqualTo(new SegmentAdmission.Refused(CRASHING, Duration.ofMillis(8 * 60_000 - 200)));
        }

        @Test
        void should_survive_a_flood_of_other_segments() {
            convict(CRASHING);

            for (int number = 0; number < 10_000; number++) {
                crash(5, 1_000, 1_100, new SegmentKey("engines", "invented-" + number));
            }

            assertThat(admit(2_000, CRASHING)).isInstanceOf(SegmentAdmission.Refused.class);
        }
    }

    @Nested
    class AmbiguousEvidence {

        @Test
        void should_refuse_requests_that_have_all_segments_of_the_crashes() {
            convict(COMPANION, CRASHING);

            assertThat(admit(1_000, COMPANION, CRASHING)).isInstanceOf(SegmentAdmission.Refused.class);
        }

        @Test
        void should_try_a_request_that_has_only_one_of_the_segments() {
            convict(COMPANION, CRASHING);

            SegmentAdmission.Trial trial = startTrial(1_500, COMPANION, FIRST);
            quarantine.recordBegun(List.of(COMPANION, FIRST), at(1_600));
            quarantine.endTrial(trial, at(1_600));

            assertThat(admit(1_700, COMPANION)).isInstanceOf(SegmentAdmission.Unrestricted.class);
            assertThat(admit(1_700, CRASHING)).isInstanceOf(SegmentAdmission.Refused.class);
        }

        @Test
        void should_blame_the_segment_whose_request_crashes_alone() {
            convict(COMPANION, CRASHING);

            SegmentAdmission.Trial trial = startTrial(1_500, CRASHING);
            crash(4, 1_500, 1_600, CRASHING);
            quarantine.endTrial(trial, at(1_600));

            assertThat(admit(1_900, CRASHING, FIRST)).isInstanceOf(SegmentAdmission.Refused.class);
            assertThat(admit(1_900, COMPANION)).isInstanceOf(SegmentAdmission.Wait.class);
        }
    }

    @Nested
    class Statements {

        private final SegmentQuarantine peer = new SegmentQuarantine(PEER, () -> {});

        private void tell(SegmentQuarantine from, VmName sender, SegmentQuarantine to, long milliseconds) {
            from.announceDue(at(milliseconds));
            from.nextStatements(at(milliseconds)).forEach(statement -> to.receive(sender, statement, at(milliseconds)));
        }

        @Test
        void should_lead_to_a_verdict_on_each_vm_when_every_one_saw_another_crash() {
            crash(1, 0, 100, CRASHING);
            crash(2, 200, 300, CRASHING);
            peer.recordCrash(List.of(CRASHING), lifetime(3), at(400), at(500));

            tell(peer, PEER, quarantine, 700);
            tell(quarantine, VmName.of("vm-1"), peer, 710);

            assertThat(admit(1_000, CRASHING)).isInstanceOf(SegmentAdmission.Refused.class);
            assertThat(peer.admit(List.of(CRASHING), at(1_000))).isInstanceOf(SegmentAdmission.Refused.class);
        }

        @Test
        void should_not_be_made_when_an_answer_refutes_the_crash_at_once() {
            crash(1, 0, 100, FIRST);
            quarantine.recordBegun(List.of(FIRST), at(120));
            quarantine.announceDue(at(300));

            assertThat(quarantine.hasNews(at(300))).isFalse();
        }

        @Test
        void should_have_the_same_effect_when_they_arrive_twice() {
            crash(1, 0, 100, CRASHING);

            for (int copy = 0; copy < 5; copy++) {
                tell(quarantine, VmName.of("vm-1"), peer, 300 + copy);
            }

            assertThat(peer.admit(List.of(CRASHING), at(1_000))).isInstanceOf(SegmentAdmission.Unrestricted.class);
        }

        @Test
        void should_repeat_verdicts_for_vms_that_start_later() {
            convict(CRASHING);

            tell(quarantine, VmName.of("vm-1"), peer, 300_000);

            assertThat(peer.verdicts(at(300_500))).hasSize(1);
        }

        @Test
        void should_correct_a_vm_that_missed_a_refutation() {
            convict(FIRST);
            tell(quarantine, VmName.of("vm-1"), peer, 700);
            quarantine.recordBegun(List.of(FIRST), at(710));
            assertThat(quarantine.hasNews(at(60_000))).isFalse();

            tell(peer, PEER, quarantine, 60_000);
            assertThat(quarantine.hasNews(at(60_000))).isTrue();
            tell(quarantine, VmName.of("vm-1"), peer, 60_010);

            assertThat(peer.admit(List.of(FIRST), at(60_300))).isInstanceOf(SegmentAdmission.Unrestricted.class);
        }

        @Test
        void should_not_settle_anew_when_more_crashes_are_told_than_are_kept() {
            for (int upstream = 0; upstream < 50; upstream++) {
                crash(upstream, upstream, 1_000 + upstream, CRASHING);
            }
            SegmentCrash ignored = new SegmentCrash(lifetime(49), at(49), at(1_049));

            quarantine.receive(
                    PEER, new SegmentStatement(CRASHING, List.of(ignored), Set.of(), Optional.empty()), at(2_000));

            assertThat(startTrial(2_900, CRASHING)).isNotNull();
        }
    }
}
