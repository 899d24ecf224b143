package org.pollenhoist.serving.returns;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;

class ReturnLedgerTest {

    private static final MonotonicTime NOW = MonotonicTime.of(Duration.ofSeconds(100));
    private static final Pool POOL = new Pool("llm", "m");
    private static final Pool OTHER_POOL = new Pool("llm", "n");
    private static final Duration EARLIEST = Duration.ofMillis(700);
    private static final Duration LATEST = Duration.ofSeconds(5);
    private static final int URGENT = 0;
    private static final int PATIENT = 1;
    private static final int STARTS_PER_SECOND = 10;
    private static final Duration SLOT = Duration.ofSeconds(1).dividedBy(STARTS_PER_SECOND);

    private final ReturnLedger ledger = new ReturnLedger();

    /** Records a steady rate of starts for so long that the rate over the long period has come close to it. */
    private void startSteadily() {
        Duration history = Duration.ofSeconds(60);
        for (Duration ago = history; ago.isPositive(); ago = ago.minus(SLOT)) {
            ledger.recordStart(POOL, NOW.plus(ago.negated()));
        }
    }

    private Return promise(int priority, Duration latest) {
        return ledger.promise(new ReturnRequest(POOL, priority, NOW, EARLIEST, latest), NOW);
    }

    private List<Return> promises(int count, int priority, Duration latest) {
        return IntStream.range(0, count)
                .mapToObj(index -> promise(priority, latest))
                .toList();
    }

    @Nested
    class BeforeStartsAreKnown {

        @Test
        void should_tell_every_caller_the_earliest_time_and_promise_nothing() {
            assertThat(promises(100, PATIENT, LATEST)).containsOnly(new Return.Unreckoned(EARLIEST));
            assertThat(ledger.outstanding(POOL, NOW)).isZero();
        }

        @Test
        void should_tell_the_earliest_time_when_the_last_starts_are_long_past() {
            startSteadily();
            MonotonicTime later = NOW.plus(Duration.ofMinutes(2));

            assertThat(ledger.promise(new ReturnRequest(POOL, URGENT, later, EARLIEST, LATEST), later))
                    .isEqualTo(new Return.Unreckoned(EARLIEST));
        }

        @Test
        void should_not_reckon_with_starts_in_another_pool() {
            startSteadily();

            assertThat(ledger.promise(new ReturnRequest(OTHER_POOL, URGENT, NOW, EARLIEST, LATEST), NOW))
                    .isEqualTo(new Return.Unreckoned(EARLIEST));
        }
    }

    @Nested
    class AtASteadyRate {

        @BeforeEach
        void start() {
            startSteadily();
        }

        @Test
        void should_tell_the_earliest_time_when_nothing_is_promised() {
            assertThat(promise(PATIENT, LATEST)).isEqualTo(new Return.At(EARLIEST));
        }

        @Test
        void should_promise_no_more_returns_than_requests_start() {
            int count = 30;

            List<Duration> times = new ArrayList<>();
            promises(count, PATIENT, LATEST).forEach(promised -> times.add(((Return.At) promised).after()));

            // Spread within slots moves a caller by less than a slot.
            for (int index = 1; index < count; index++) {
                Duration slotStart = EARLIEST.plus(SLOT.multipliedBy(index));
                assertThat(times.get(index)).isBetween(slotStart.minus(SLOT), slotStart.plus(SLOT.multipliedBy(2)));
            }
        }

        @Test
        void should_promise_urgent_callers_the_slots_of_patient_ones_but_not_those_of_each_other() {
            List<Return> patient = promises(10, PATIENT, LATEST);
            List<Return> urgent = promises(10, URGENT, LATEST);

            assertThat(urgent).isEqualTo(patient);
            assertThat(urgent).doesNotHaveDuplicates();
        }

        @Test
        void should_promise_patient_callers_slots_behind_those_of_urgent_ones() {
            List<Return> urgent = promises(10, URGENT, LATEST);

            assertThat(promise(PATIENT, LATEST).after())
                    .isGreaterThan(urgent.getLast().after());
        }

        @Test
        void should_tell_the_reckoned_time_and_promise_nothing_when_the_caller_can_not_wait_as_long() {
            Duration latest = EARLIEST.plus(SLOT.multipliedBy(5));
            promises(20, PATIENT, LATEST);

            Return refused = promise(PATIENT, latest);

            assertThat(refused).isInstanceOf(Return.Never.class);
            assertThat(refused.after()).isGreaterThan(latest);
            assertThat(ledger.outstanding(POOL, NOW)).isEqualTo(20);
        }

        @Test
        void should_never_promise_a_time_after_the_latest_one() {
            assertThat(promises(100, PATIENT, LATEST))
                    .filteredOn(promised -> promised instanceof Return.At)
                    .hasSizeGreaterThan(1)
                    .allSatisfy(promised -> assertThat(promised.after()).isLessThanOrEqualTo(LATEST));
        }

        @Test
        void should_bound_the_promises() {
            promises(2 * ReturnLedger.MAXIMUM_PROMISES, PATIENT, Duration.ofDays(1));

            assertThat(ledger.outstanding(POOL, NOW)).isEqualTo(ReturnLedger.MAXIMUM_PROMISES);
            assertThat(promise(PATIENT, Duration.ofDays(1))).isInstanceOf(Return.Never.class);
        }
    }

    @Nested
    class WhenTheTimeOfAPromiseHasPassed {

        @BeforeEach
        void promiseOnce() {
            startSteadily();
            promise(PATIENT, LATEST);
        }

        @Test
        void should_settle_it_by_the_next_start() {
            ledger.recordStart(POOL, NOW.plus(EARLIEST).plus(Duration.ofNanos(-1)));
            assertThat(ledger.outstanding(POOL, NOW.plus(EARLIEST))).isEqualTo(1);

            ledger.recordStart(POOL, NOW.plus(EARLIEST));
            assertThat(ledger.outstanding(POOL, NOW.plus(EARLIEST))).isZero();
        }

        @Test
        void should_expire_when_nothing_starts() {
            assertThat(ledger.outstanding(POOL, NOW.plus(EARLIEST))).isEqualTo(1);
            assertThat(ledger.outstanding(POOL, NOW.plus(EARLIEST).plus(Duration.ofSeconds(1))))
                    .isZero();
        }

        @Test
        void should_keep_room_for_it_until_it_is_settled() {
            MonotonicTime due = NOW.plus(EARLIEST);

            Return next = ledger.promise(new ReturnRequest(POOL, PATIENT, due, Duration.ZERO, LATEST), due);

            assertThat(next.after()).isPositive();
        }
    }
}
