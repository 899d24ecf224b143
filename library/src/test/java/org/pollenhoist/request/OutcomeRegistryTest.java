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
        void should_vouch_when_nothing_was_ever_registered_before_it() {
            registry.started(true, true);
            assertThat(registry.register(DIGEST, REQUEST, RUNNER, START).vouches())
                    .isTrue();
        }

        @Test
        void should_vouch_when_it_has_been_up_for_as_long_as_is_promised() {
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
        void should_vouch_when_the_other_registrar_knew_all() {
            registry.memberSeen(RUNNER.vm(), START);
            registry.takeOver(RUNNER.vm(), List.of(), Standing.WHOLE);
            assertThat(registry.register(DIGEST, REQUEST, RUNNER, START).vouches())
                    .isTrue();
            assertThat(registry.standing(START)).isEqualTo(Standing.WHOLE);
        }

        @Test
        void should_not_vouch_when_the_other_registrar_did_not_know_all() {
            registry.memberSeen(RUNNER.vm(), START);
            registry.takeOver(RUNNER.vm(), List.of(), Standing.PARTIAL);
            assertThat(registry.register(DIGEST, REQUEST, RUNNER, START).vouches())
                    .isFalse();
        }

        @Test
        void should_keep_a_record_taken_over_when_a_registration_came_in_between_and_ended() {
            OutcomeRecord earlier = new OutcomeRecord(DIGEST, REQUEST, RUNNER, RegistrarResponse.State.FINISHED, START);
            registry.register(DIGEST, REQUEST, OTHER, START);
            registry.takeOver(RUNNER.vm(), List.of(earlier), Standing.WHOLE);
            registry.ended(DIGEST, OTHER, RegistrarResponse.State.NEVER_SEEN);
            assertThat(registry.register(DIGEST, REQUEST, OTHER, START).state())
                    .isEqualTo(RegistrarResponse.State.FINISHED);
        }

        @Test
        void should_never_vouch_for_a_key_of_two_other_members() {
            registry.started(true, true);
            registry.memberSeen(RUNNER.vm(), START);
            registry.memberSeen(OTHER.vm(), START);
            long foreign = 0;
            for (long key = 0; key < 300; key++) {
                RequestFingerprint digest = new RequestFingerprint(key, key);
                foreign += registry.register(digest, REQUEST, RUNNER, START).vouches() ? 0 : 1;
            }
            assertThat(foreign).isBetween(60L, 140L);
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
        void should_let_the_key_go_only_when_its_own_runner_proved_that_it_did_not_run() {
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

        private final RegistrarResponse fresh =
                new RegistrarResponse(RegistrarResponse.State.NEVER_SEEN, Optional.empty(), true);
        private final RegistrarResponse young =
                new RegistrarResponse(RegistrarResponse.State.NEVER_SEEN, Optional.empty(), false);

        @Test
        void should_run_only_when_all_answered_and_one_vouches() {
            assertThat(OutcomeInquiry.conclude(2, List.of(fresh, young))).isEqualTo(new OutcomeInquiry.Verdict.Run());
            assertThat(OutcomeInquiry.conclude(2, List.of(fresh))).isEqualTo(new OutcomeInquiry.Verdict.Unknown());
            assertThat(OutcomeInquiry.conclude(2, List.of(young, young)))
                    .isEqualTo(new OutcomeInquiry.Verdict.Unknown());
            assertThat(OutcomeInquiry.conclude(0, List.of())).isEqualTo(new OutcomeInquiry.Verdict.Unknown());
        }
    }

    /** Bookings repeated through any VM, while VMs die and start anew. */
    @Nested
    class History {

        private static final int SEEDS = 400;

        @ParameterizedTest
        @ValueSource(longs = {3_000, 20_000, 60_000})
        void should_run_no_booking_twice_when_vms_die(long betweenDeaths) {
            int unknown = 0;
            int run = 0;
            for (long seed = 1; seed <= SEEDS; seed++) {
                BookingFleet fleet = new BookingFleet(seed, BookingFleet.Mutant.NONE);
                fleet.run(betweenDeaths);
                assertThat(fleet.mostRunsOfOneBooking()).as("seed " + seed).isEqualTo(1);
                unknown += fleet.unknownAnswers();
                run += fleet.bookingsRun();
            }
            System.out.printf(
                    "booking_history between_deaths_ms=%d seeds=%d bookings=%d run=%d unknown_answers=%d%n",
                    betweenDeaths, SEEDS, SEEDS * 60, run, unknown);
        }

        @ParameterizedTest
        @EnumSource(
                value = BookingFleet.Mutant.class,
                mode = EnumSource.Mode.EXCLUDE,
                names = {"NONE"})
        void should_run_some_booking_twice_when_a_mechanism_is_left_out(BookingFleet.Mutant mutant) {
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
