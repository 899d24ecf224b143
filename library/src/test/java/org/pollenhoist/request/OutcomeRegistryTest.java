package org.pollenhoist.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.VmName;

class OutcomeRegistryTest {

    private static final MonotonicTime START = MonotonicTime.of(Duration.ZERO);
    private static final VmName SELF = VmName.of("vm-1");
    private static final RequestFingerprint DIGEST = new RequestFingerprint(1, 1);
    private static final RequestFingerprint REQUEST = new RequestFingerprint(2, 2);
    private static final RegistrarResponse.Runner RUNNER = new RegistrarResponse.Runner(VmName.of("vm-2"), 7, 1);
    private static final RegistrarResponse.Runner OTHER = new RegistrarResponse.Runner(VmName.of("vm-3"), 8, 1);

    private final OutcomeRegistry registry = new OutcomeRegistry(SELF, START);

    @Nested
    class Register {

        @Test
        void should_not_vouch_when_it_has_just_started() {
            assertThat(registry.register(DIGEST, REQUEST, RUNNER, START))
                    .isEqualTo(new RegistrarResponse(RegistrarResponse.State.NEVER_SEEN, Optional.empty(), false));
        }

        @Test
        void should_vouch_when_it_is_the_first_process_of_its_failure_domain() {
            registry.started(true, true);
            assertThat(registry.register(DIGEST, REQUEST, RUNNER, START).vouches())
                    .isTrue();
        }

        @Test
        void should_vouch_when_it_has_been_running_for_the_required_time() {
            MonotonicTime later = START.plus(OutcomeRegistry.PROMISED).plus(Duration.ofSeconds(30));
            registry.memberSeen(RUNNER.vm(), later);
            assertThat(registry.register(DIGEST, REQUEST, RUNNER, later).vouches())
                    .isTrue();
        }

        @Test
        void should_name_the_runner_when_the_key_is_registered() {
            registry.register(DIGEST, REQUEST, RUNNER, START);
            assertThat(registry.register(DIGEST, REQUEST, OTHER, START))
                    .isEqualTo(new RegistrarResponse(RegistrarResponse.State.RUNNING, Optional.of(RUNNER), true));
        }

        @Test
        void should_refuse_the_key_when_it_comes_with_another_request() {
            registry.register(DIGEST, REQUEST, RUNNER, START);
            assertThat(registry.register(DIGEST, DIGEST, OTHER, START).state())
                    .isEqualTo(RegistrarResponse.State.OTHER_REQUEST);
        }
    }

    @Nested
    class TakeOver {

        @Test
        void should_vouch_when_the_other_registrar_had_all_records() {
            registry.memberSeen(RUNNER.vm(), START);
            registry.takeOver(RUNNER.vm(), List.of(), Standing.WHOLE);
            assertThat(registry.register(DIGEST, REQUEST, RUNNER, START).vouches())
                    .isTrue();
            assertThat(registry.standing(START)).isEqualTo(Standing.WHOLE);
        }

        @Test
        void should_not_vouch_when_the_other_registrar_lacked_records() {
            registry.memberSeen(RUNNER.vm(), START);
            registry.takeOver(RUNNER.vm(), List.of(), Standing.PARTIAL);
            assertThat(registry.register(DIGEST, REQUEST, RUNNER, START).vouches())
                    .isFalse();
        }

        @Test
        void should_keep_a_record_taken_over_when_another_registration_of_the_key_ended() {
            OutcomeRecord earlier = new OutcomeRecord(DIGEST, REQUEST, RUNNER, RegistrarResponse.State.FINISHED, START);
            registry.register(DIGEST, REQUEST, OTHER, START);
            registry.takeOver(RUNNER.vm(), List.of(earlier), Standing.WHOLE);
            registry.ended(DIGEST, OTHER, RegistrarResponse.State.NEVER_SEEN);
            assertThat(registry.register(DIGEST, REQUEST, OTHER, START).state())
                    .isEqualTo(RegistrarResponse.State.FINISHED);
        }

        @Test
        void should_not_vouch_when_two_other_members_are_the_registrars_of_the_key() {
            registry.started(true, true);
            registry.memberSeen(RUNNER.vm(), START);
            registry.memberSeen(OTHER.vm(), START);
            long unvouched = 0;
            for (long key = 0; key < 300; key++) {
                RequestFingerprint digest = new RequestFingerprint(key, key);
                unvouched += registry.register(digest, REQUEST, RUNNER, START).vouches() ? 0 : 1;
            }
            assertThat(unvouched).isBetween(60L, 140L);
        }
    }

    @Nested
    class Ended {

        @Test
        void should_ignore_a_late_message_about_an_earlier_registration() {
            RegistrarResponse.Runner again = new RegistrarResponse.Runner(RUNNER.vm(), RUNNER.incarnation(), 2);
            registry.register(DIGEST, REQUEST, again, START);
            registry.ended(DIGEST, RUNNER, RegistrarResponse.State.NEVER_SEEN);
            assertThat(registry.register(DIGEST, REQUEST, OTHER, START).state())
                    .isEqualTo(RegistrarResponse.State.RUNNING);
        }

        @Test
        void should_free_the_key_only_when_its_own_runner_proved_that_it_did_not_run() {
            registry.register(DIGEST, REQUEST, RUNNER, START);
            registry.ended(DIGEST, OTHER, RegistrarResponse.State.NEVER_SEEN);
            assertThat(registry.register(DIGEST, REQUEST, OTHER, START).state())
                    .isEqualTo(RegistrarResponse.State.RUNNING);
            registry.ended(DIGEST, RUNNER, RegistrarResponse.State.NEVER_SEEN);
            assertThat(registry.register(DIGEST, REQUEST, OTHER, START).state())
                    .isEqualTo(RegistrarResponse.State.NEVER_SEEN);
        }
    }

    @Nested
    class Conclude {

        private final RegistrarResponse vouching =
                new RegistrarResponse(RegistrarResponse.State.NEVER_SEEN, Optional.empty(), true);
        private final RegistrarResponse notVouching =
                new RegistrarResponse(RegistrarResponse.State.NEVER_SEEN, Optional.empty(), false);

        @Test
        void should_run_only_when_all_responded_and_one_vouches() {
            assertThat(OutcomeInquiry.conclude(2, List.of(vouching, notVouching)))
                    .isEqualTo(new OutcomeInquiry.Verdict.Run());
            assertThat(OutcomeInquiry.conclude(2, List.of(vouching))).isEqualTo(new OutcomeInquiry.Verdict.Unknown());
            assertThat(OutcomeInquiry.conclude(2, List.of(notVouching, notVouching)))
                    .isEqualTo(new OutcomeInquiry.Verdict.Unknown());
            assertThat(OutcomeInquiry.conclude(0, List.of())).isEqualTo(new OutcomeInquiry.Verdict.Unknown());
        }
    }

    /** Callers repeat bookings through random VMs while VMs crash and restart. */
    @Nested
    class History {

        private static final int SEEDS = 400;

        @ParameterizedTest
        @ValueSource(longs = {3_000, 20_000, 60_000})
        void should_run_no_booking_twice_when_vms_crash(long betweenCrashes) {
            int unknown = 0;
            int run = 0;
            for (long seed = 1; seed <= SEEDS; seed++) {
                BookingFleet fleet = new BookingFleet(seed, BookingFleet.Mutant.NONE);
                fleet.run(betweenCrashes);
                assertThat(fleet.mostRunsOfOneBooking()).as("seed " + seed).isEqualTo(1);
                unknown += fleet.unknownVerdicts();
                run += fleet.bookingsRun();
            }
            System.out.printf(
                    "booking_history between_deaths_ms=%d seeds=%d bookings=%d run=%d unknown_answers=%d%n",
                    betweenCrashes, SEEDS, SEEDS * 60, run, unknown);
        }

        @ParameterizedTest
        @EnumSource(
                value = BookingFleet.Mutant.class,
                mode = EnumSource.Mode.EXCLUDE,
                names = {"NONE"})
        void should_run_some_booking_twice_when_a_mechanism_is_disabled(BookingFleet.Mutant mutant) {
            int most = 0;
            for (long seed = 1; seed <= SEEDS; seed++) {
                BookingFleet fleet = new BookingFleet(seed, mutant);
                fleet.run(3_000);
                most = Math.max(most, fleet.mostRunsOfOneBooking());
            }
            assertThat(most).isGreaterThan(1);
        }
    }
}
