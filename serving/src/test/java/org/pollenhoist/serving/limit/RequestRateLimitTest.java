package org.pollenhoist.serving.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;

class RequestRateLimitTest {

    private static final RateLimitNotice LIMITED = new RateLimitNotice.Limited(2);
    private static final RateLimitNotice UNLIMITED = new RateLimitNotice.Unlimited();

    private final RequestRateLimit limit = new RequestRateLimit(at(0));

    private static MonotonicTime at(long milliseconds) {
        return MonotonicTime.of(Duration.ofMillis(milliseconds));
    }

    private void limitTo(double share) {
        limit.observe(LIMITED, at(0), at(0));
        limit.setShare(share, at(0));
    }

    @Nested
    class Sending {

        @Test
        void should_be_allowed_at_any_time_without_a_limit() {
            limit.recordSent(at(0));

            assertThat(limit.mayReceive(at(0))).isTrue();
            assertThat(limit.timeUntilNext(at(0))).isZero();
        }

        @Test
        void should_be_allowed_at_the_rate_of_the_share() {
            limitTo(0.5);

            assertThat(limit.mayReceive(at(1_999))).isFalse();
            assertThat(limit.timeUntilNext(at(500))).isEqualTo(Duration.ofMillis(1_500));
            assertThat(limit.mayReceive(at(2_000))).isTrue();
            limit.recordSent(at(2_000));
            assertThat(limit.mayReceive(at(3_999))).isFalse();
            assertThat(limit.mayReceive(at(4_000))).isTrue();
        }

        @Test
        void should_not_save_up_more_than_one_request() {
            limitTo(0.5);

            limit.recordSent(at(20_000));

            assertThat(limit.mayReceive(at(20_000))).isFalse();
        }

        @Test
        void should_end_when_the_share_is_taken_away() {
            limitTo(1);
            limit.setShare(0, at(5_000));

            assertThat(limit.mayReceive(at(5_001))).isFalse();
            assertThat(limit.timeUntilNext(at(5_001))).isEqualTo(Duration.ofMillis(500));
        }
    }

    /** An upstream that has just started bears few requests; all VMs learn of it at about the same time. */
    @Nested
    class ColdStart {

        @Test
        void should_stop_sending_until_the_share_is_known() {
            limit.limitWhileCold(8, at(3_000), at(0));

            assertThat(limit.mayReceive(at(2_999))).isFalse();
        }

        @Test
        void should_allow_the_share_of_the_limit() {
            limit.limitWhileCold(8, at(3_000), at(0));
            limit.setShare(2, at(0));

            assertThat(limit.limitPerSecond(at(0))).contains(8.0);
            assertThat(limit.mayReceive(at(499))).isFalse();
            assertThat(limit.mayReceive(at(500))).isTrue();
        }

        @Test
        void should_end_with_the_time_that_the_upstream_names() {
            limit.limitWhileCold(8, at(3_000), at(0));

            assertThat(limit.isLimited(at(3_000))).isFalse();
            assertThat(limit.mayReceive(at(3_000))).isTrue();
        }

        @Test
        void should_apply_beside_a_limit_that_responses_state_and_the_lower_one_counts() {
            limitTo(1);
            limit.limitWhileCold(0.5, at(3_000), at(100));

            assertThat(limit.limitPerSecond(at(200))).contains(0.5);
            assertThat(limit.limitPerSecond(at(3_000))).contains(2.0);
            assertThat(limit.isObservedLimited(at(200))).isTrue();
        }
    }

    @Nested
    class Observations {

        @Test
        void should_be_urgent_when_a_limit_appears_changes_or_ends() {
            assertThat(limit.observe(LIMITED, at(0), at(10))).isTrue();
            assertThat(limit.observe(LIMITED, at(10), at(20))).isFalse();
            assertThat(limit.observe(new RateLimitNotice.Limited(2.1), at(20), at(30)))
                    .isFalse();
            assertThat(limit.observe(new RateLimitNotice.Limited(1), at(30), at(40)))
                    .isTrue();
            assertThat(limit.observe(UNLIMITED, at(50), at(60))).isTrue();
        }

        @Test
        void should_not_end_a_limit_by_a_response_to_a_request_sent_before() {
            limit.observe(LIMITED, at(0), at(100));

            assertThat(limit.observe(UNLIMITED, at(99), at(200))).isFalse();
            assertThat(limit.isLimited(at(200))).isTrue();
        }

        @Test
        void should_neither_set_nor_end_a_limit_when_unreadable() {
            limit.observe(new RateLimitNotice.Unreadable(), at(0), at(10));
            assertThat(limit.isLimited(at(10))).isFalse();
            limit.observe(LIMITED, at(10), at(20));
            limit.observe(new RateLimitNotice.Unreadable(), at(30), at(40));

            assertThat(limit.isLimited(at(40))).isTrue();
        }

        @Test
        void should_apply_the_later_one_of_two_vms_in_whichever_order_they_arrive() {
            var limited = new LimitObservation(LIMITED, at(1_000));
            var ended = new LimitObservation(UNLIMITED, at(2_000));

            limit.receive(limited);
            limit.receive(ended);
            limit.receive(limited);

            assertThat(limit.isLimited(at(2_100))).isFalse();
        }

        @Test
        void should_be_reported_for_a_shorter_time_than_they_are_remembered() {
            limit.observe(LIMITED, at(0), at(0));
            assertThat(limit.reportable(at(9_999))).isPresent();
            assertThat(limit.reportable(at(10_000))).isEmpty();
            assertThat(limit.isLimited(at(29_999))).isTrue();
            assertThat(limit.isLimited(at(30_000))).isFalse();
        }
    }
}
