package org.pollenhoist.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;

class RetryPolicyTest {

    private static final MonotonicTime START = MonotonicTime.of(Duration.ZERO);
    private static final MonotonicTime DEADLINE = START.plus(Duration.ofSeconds(10));
    private static final AttemptResult REFUSED = new AttemptResult.NotSent(AttemptResult.Proof.CONNECTION_REFUSED);

    private final RetryPolicy policy = new RetryPolicy(new RetryBudget());

    private static RequestProgress attempted(boolean isIdempotent) {
        return RequestProgress.start(isIdempotent, DEADLINE).attempting(UpstreamName.of("berth-1"));
    }

    @Nested
    class NotIdempotent {

        @ParameterizedTest
        @EnumSource(AttemptResult.Proof.class)
        void should_be_retried_elsewhere_when_it_is_proved_that_it_did_not_run(AttemptResult.Proof proof) {
            NextStep step = policy.next(attempted(false), new AttemptResult.NotSent(proof), START);
            assertThat(step).isEqualTo(new NextStep.RetryElsewhere(attempted(false)));
        }

        @Test
        void should_end_with_an_unknown_outcome_when_it_may_have_run() {
            NextStep unknown = new NextStep.GiveUp(ErrorCode.OUTCOME_UNKNOWN, false, Optional.empty());
            assertThat(policy.next(attempted(false), new AttemptResult.FailedBeforeAnswer(), START))
                    .isEqualTo(unknown);
            assertThat(policy.next(attempted(false), new AttemptResult.TimedOut(), START))
                    .isEqualTo(unknown);
        }
    }

    @Nested
    class Idempotent {

        @Test
        void should_be_retried_elsewhere_when_the_connection_broke() {
            NextStep step = policy.next(attempted(true), new AttemptResult.FailedBeforeAnswer(), START);
            assertThat(step).isInstanceOf(NextStep.RetryElsewhere.class);
        }

        @Test
        void should_not_state_not_run_when_an_earlier_attempt_may_have_run() {
            RequestProgress broken = attempted(true).afterUnprovedFailure();
            assertThat(policy.next(broken, REFUSED, DEADLINE))
                    .isEqualTo(new NextStep.GiveUp(ErrorCode.DEADLINE_EXCEEDED, false, Optional.empty()));
        }

        @Test
        void should_end_with_an_incomplete_response_when_the_stream_broke() {
            assertThat(policy.next(attempted(true), new AttemptResult.StreamBroke(), START))
                    .isEqualTo(new NextStep.GiveUp(ErrorCode.ANSWER_INCOMPLETE, false, Optional.empty()));
        }

        @Test
        void should_stop_after_three_attempts() {
            RequestProgress third =
                    attempted(true).attempting(UpstreamName.of("berth-2")).attempting(UpstreamName.of("berth-3"));
            assertThat(policy.next(third, REFUSED, START))
                    .isEqualTo(new NextStep.GiveUp(
                            ErrorCode.UPSTREAM_UNAVAILABLE, true, Optional.of(Duration.ofSeconds(1))));
        }
    }

    /** Random attempts of bookings, of which the number of executions is counted. */
    @Nested
    class History {

        private static final int REQUESTS = 2_000;

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
        void should_run_bookings_at_most_once_and_state_not_run_only_when_true(long seed) {
            Random random = new Random(seed);
            RetryPolicy sharedPolicy = new RetryPolicy(new RetryBudget());
            int repeated = 0;
            for (int request = 0; request < REQUESTS; request++) {
                repeated += checkOne(sharedPolicy, random);
            }
            assertThat(repeated).as("bookings that needed a second attempt").isPositive();
        }

        @Test
        void should_retry_at_most_a_tenth_when_all_attempts_fail() {
            RetryBudget budget = new RetryBudget();
            RetryPolicy failing = new RetryPolicy(budget);
            int retries = 0;
            for (int request = 0; request < REQUESTS; request++) {
                budget.recordRequest();
                NextStep step = failing.next(attempted(true), new AttemptResult.FailedBeforeAnswer(), START);
                retries += step instanceof NextStep.RetryElsewhere ? 1 : 0;
            }
            assertThat(retries).isBetween(REQUESTS / 10, REQUESTS / 10 + 10);
        }

        private int checkOne(RetryPolicy sharedPolicy, Random random) {
            RequestProgress progress = RequestProgress.start(false, DEADLINE);
            int ran = 0;
            for (int attempt = 1; ; attempt++) {
                progress = progress.attempting(UpstreamName.of("berth-" + attempt));
                boolean isRun = random.nextBoolean();
                ran += isRun ? 1 : 0;
                NextStep step = sharedPolicy.next(progress, observed(isRun, random), START);
                assertThat(ran).as("runs of one booking").isLessThanOrEqualTo(1);
                if (step instanceof NextStep.RetryElsewhere retry) {
                    progress = retry.progress();
                    continue;
                }
                boolean isReportedNotRun = step instanceof NextStep.GiveUp giveUp && giveUp.isNotRun();
                assertThat(isReportedNotRun && ran > 0)
                        .as("reported as not run although it ran")
                        .isFalse();
                return attempt > 1 ? 1 : 0;
            }
        }

        /**
         * Returns what a VM observes: a proof only if the booking did not run; a broken connection or a time-out in
         * both cases.
         */
        private AttemptResult observed(boolean isRun, Random random) {
            return switch (random.nextInt(3)) {
                case 0 -> new AttemptResult.TimedOut();
                case 1 -> new AttemptResult.FailedBeforeAnswer();
                default -> isRun ? new AttemptResult.Answered() : REFUSED;
            };
        }
    }
}
