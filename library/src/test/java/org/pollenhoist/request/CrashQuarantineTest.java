package org.pollenhoist.request;

import static org.assertj.core.api.Assertions.assertThat;
import static org.pollenhoist.request.PoisonousFleet.POISON;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.common.VmName;

class CrashQuarantineTest {

    private static final UpstreamName FIRST = UpstreamName.of("scribe-1");
    private static final UpstreamName SECOND = UpstreamName.of("scribe-2");
    private static final CopyCount MANY_COPIES = without -> 13 - without.size();
    private static final int SEEDS = 300;

    private final CrashQuarantine quarantine = new CrashQuarantine(VmName.of("vm-1"), notice -> {});

    private static MonotonicTime at(long milliseconds) {
        return MonotonicTime.of(Duration.ofMillis(milliseconds));
    }

    private static UpstreamLifetime lifetime(UpstreamName upstream) {
        return UpstreamLifetime.ofUnknownStart(upstream);
    }

    private static UpstreamLifetime lifetime(UpstreamName upstream, long started) {
        return new UpstreamLifetime(upstream, started);
    }

    private static RequestFingerprint request(int number) {
        return RequestFingerprint.of("POST", "/", new byte[] {(byte) number});
    }

    @Nested
    class Admit {

        @Test
        void should_admit_without_restriction_when_nothing_crashed() {
            assertThat(quarantine.admit(POISON, MANY_COPIES, at(0))).isEqualTo(new Admission.Unrestricted());
        }

        @Test
        void should_admit_one_trial_elsewhere_after_settling_when_one_upstream_crashed() {
            quarantine.recordBreak(POISON, lifetime(FIRST), at(0));
            assertThat(quarantine.admit(POISON, MANY_COPIES, at(1)))
                    .isEqualTo(new Admission.AskAgain(Duration.ofMillis(200)));
            assertThat(quarantine.admit(POISON, MANY_COPIES, at(201))).isEqualTo(new Admission.Trial(1, Set.of(FIRST)));
            assertThat(quarantine.admit(POISON, MANY_COPIES, at(202))).isInstanceOf(Admission.Refused.class);
        }

        @Test
        void should_refuse_a_suspect_request_when_only_the_last_copy_is_left() {
            quarantine.recordBreak(POISON, lifetime(FIRST), at(0));
            CopyCount lastCopy = without -> 2 - without.size();
            assertThat(quarantine.admit(POISON, lastCopy, at(300))).isInstanceOf(Admission.Refused.class);
        }

        @Test
        void should_quarantine_all_repeats_when_two_upstreams_crashed() {
            quarantine.recordBreak(POISON, lifetime(FIRST), at(0));
            quarantine.recordBreak(POISON, lifetime(SECOND), at(500));
            Admission first = quarantine.admit(POISON, MANY_COPIES, at(501));
            assertThat(first).isEqualTo(new Admission.Quarantined(Duration.ofMinutes(10)));
            assertThat(quarantine.admit(POISON, MANY_COPIES, at(502))).isEqualTo(first);
        }

        @Test
        void should_admit_without_restriction_when_the_request_succeeded() {
            quarantine.recordBreak(POISON, lifetime(FIRST), at(0));
            quarantine.recordSuccess(POISON, at(400));
            assertThat(quarantine.admit(POISON, MANY_COPIES, at(401))).isEqualTo(new Admission.Unrestricted());
        }

        @Test
        void should_refuse_the_trial_when_a_vm_with_a_lower_name_claims_it() {
            quarantine.recordBreak(POISON, lifetime(FIRST), at(0));
            quarantine.admit(POISON, MANY_COPIES, at(1));
            quarantine.receive(claim("vm-0"), at(50));
            assertThat(quarantine.admit(POISON, MANY_COPIES, at(300))).isInstanceOf(Admission.Refused.class);
        }

        @Test
        void should_keep_the_claim_when_a_vm_with_a_higher_name_claims_it() {
            quarantine.recordBreak(POISON, lifetime(FIRST), at(0));
            quarantine.admit(POISON, MANY_COPIES, at(1));
            quarantine.receive(claim("vm-2"), at(50));
            assertThat(quarantine.admit(POISON, MANY_COPIES, at(300))).isInstanceOf(Admission.Trial.class);
        }

        private CrashNotice claim(String vm) {
            return new CrashNotice(
                    POISON,
                    Set.of(lifetime(FIRST)),
                    java.util.Optional.of(VmName.of(vm)),
                    false,
                    false,
                    Duration.ofMinutes(1));
        }
    }

    @Nested
    class Verdict {

        private static final Duration VISIBLE_WITHIN = Duration.ofSeconds(5);

        private void reachVerdict() {
            quarantine.recordBreak(POISON, lifetime(FIRST, 1), at(0));
            quarantine.recordBreak(POISON, lifetime(SECOND, 1), at(500));
        }

        private void makeFaulty(UpstreamName upstream) {
            for (int crash = 0; crash < 3; crash++) {
                quarantine.recordBreak(request(10 + crash), lifetime(upstream, 2 + crash), at(2_000L * (crash + 1)));
            }
            assertThat(quarantine.isFaulty(upstream, at(6_000))).isTrue();
        }

        @Test
        void should_stay_when_its_upstreams_are_considered_faulty_later() {
            reachVerdict();
            makeFaulty(FIRST);
            makeFaulty(SECOND);
            assertThat(quarantine.admit(POISON, MANY_COPIES, at(6_001))).isInstanceOf(Admission.Quarantined.class);
        }

        @Test
        void should_be_reached_at_the_third_crash_when_all_upstreams_are_considered_faulty() {
            makeFaulty(FIRST);
            makeFaulty(SECOND);
            quarantine.recordBreak(POISON, lifetime(FIRST, 9), at(6_100));
            quarantine.recordBreak(POISON, lifetime(SECOND, 9), at(6_200));
            assertThat(quarantine.admit(POISON, MANY_COPIES, at(6_201))).isInstanceOf(Admission.Unrestricted.class);
            quarantine.recordBreak(POISON, lifetime(SECOND, 10), at(6_300));
            assertThat(quarantine.admit(POISON, MANY_COPIES, at(6_301))).isInstanceOf(Admission.Quarantined.class);
        }

        @Test
        void should_be_lifted_when_an_upstream_is_still_running() {
            reachVerdict();
            quarantine.review(lifetime(FIRST, 1)::equals, VISIBLE_WITHIN, at(5_000));
            assertThat(quarantine.admit(POISON, MANY_COPIES, at(5_001))).isInstanceOf(Admission.AskAgain.class);
        }

        @Test
        void should_stay_when_the_end_of_an_upstream_can_not_be_detected_yet() {
            reachVerdict();
            quarantine.review(lifetime -> true, VISIBLE_WITHIN, at(4_999));
            assertThat(quarantine.admit(POISON, MANY_COPIES, at(5_000))).isInstanceOf(Admission.Quarantined.class);
        }

        @Test
        void should_stay_when_the_upstreams_have_restarted() {
            reachVerdict();
            quarantine.review(lifetime(FIRST, 2)::equals, VISIBLE_WITHIN, at(60_000));
            assertThat(quarantine.admit(POISON, MANY_COPIES, at(60_001))).isInstanceOf(Admission.Quarantined.class);
        }

        @Test
        void should_not_be_reached_when_a_peer_counts_a_refuted_crash() {
            reachVerdict();
            quarantine.review(lifetime(FIRST, 1)::equals, VISIBLE_WITHIN, at(5_000));
            quarantine.receive(
                    new CrashNotice(
                            POISON,
                            Set.of(lifetime(FIRST, 1), lifetime(SECOND, 1)),
                            java.util.Optional.empty(),
                            false,
                            true,
                            Duration.ofMinutes(1)),
                    at(5_100));
            assertThat(quarantine.admit(POISON, MANY_COPIES, at(5_101))).isInstanceOf(Admission.AskAgain.class);
        }
    }

    @Nested
    class FaultyUpstream {

        @Test
        void should_not_be_considered_faulty_when_connections_break_within_one_lifetime() {
            for (int broken = 0; broken < 9; broken++) {
                quarantine.recordBreak(request(broken), lifetime(FIRST, 1), at(2_000L * broken));
            }
            assertThat(quarantine.isFaulty(FIRST, at(18_000))).isFalse();
        }

        @Test
        void should_be_considered_faulty_when_it_crashes_under_different_requests() {
            for (int crash = 0; crash < 3; crash++) {
                quarantine.recordBreak(request(crash), lifetime(FIRST), at(2_000L * crash));
            }
            assertThat(quarantine.isFaulty(FIRST, at(6_000))).isTrue();
            assertThat(quarantine.admit(request(0), MANY_COPIES, at(6_000))).isEqualTo(new Admission.Unrestricted());
        }

        @Test
        void should_not_be_considered_faulty_when_one_request_was_present_at_each_crash() {
            for (int crash = 0; crash < 3; crash++) {
                quarantine.recordBreak(request(crash), lifetime(FIRST), at(2_000L * crash));
                quarantine.recordBreak(POISON, lifetime(FIRST), at(2_000L * crash + 10));
            }
            assertThat(quarantine.isFaulty(FIRST, at(6_000))).isFalse();
        }
    }

    @Nested
    class Fleet {

        private int worst(int callers, int copies, double lossRate, Set<PoisonousFleet.Mutant> mutants) {
            int worst = 0;
            for (long seed = 1; seed <= SEEDS; seed++) {
                PoisonousFleet fleet = new PoisonousFleet(seed, copies, lossRate, mutants);
                fleet.run(callers);
                worst = Math.max(worst, fleet.crashed().size());
            }
            return worst;
        }

        @Test
        void should_lose_at_most_two_upstreams_when_notices_arrive_in_time() {
            assertThat(worst(1, 13, 0, Set.of())).isEqualTo(2);
            assertThat(worst(6, 13, 0, Set.of())).isEqualTo(2);
        }

        @Test
        void should_not_crash_the_last_copy() {
            assertThat(worst(6, 2, 0, Set.of())).isEqualTo(1);
        }

        @Test
        void should_quarantine_repeats_when_the_verdict_is_reached() {
            PoisonousFleet fleet = new PoisonousFleet(1, 13, 0, Set.of());
            fleet.run(6);
            assertThat(fleet.quarantinedResponses()).isPositive();
        }

        /** Message loss weakens the bound: each VM that misses the notices may crash further upstreams. */
        @Test
        void should_lose_few_upstreams_when_a_tenth_of_the_notices_is_lost() {
            int worst = worst(6, 13, 0.1, Set.of());
            System.out.println("crash_quarantine loss=0.1 seeds=" + SEEDS + " worst_upstreams=" + worst);
            assertThat(worst).isLessThan(8);
        }

        @ParameterizedTest
        @EnumSource(PoisonousFleet.Mutant.class)
        void should_lose_more_upstreams_when_a_mechanism_is_disabled(PoisonousFleet.Mutant mutant) {
            assertThat(worst(6, 13, 0, EnumSet.of(mutant))).isGreaterThan(2);
        }
    }
}
