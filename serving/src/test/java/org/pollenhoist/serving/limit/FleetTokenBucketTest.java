package org.pollenhoist.serving.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.catalog.Team;

class FleetTokenBucketTest {

    private static final MonotonicTime START = MonotonicTime.of(Duration.ofSeconds(100));
    private static final double RATE = 1_000;
    private static final double BURST = 5_000;

    private static final Team TEAM = new Team("crews", Set.of("k"), OptionalInt.empty(), RATE, BURST, true, 200);

    private final FleetTokenBucket bucket = new FleetTokenBucket(RATE, BURST, 1, START);

    private static MonotonicTime after(long milliseconds) {
        return START.plus(Duration.ofMillis(milliseconds));
    }

    @Nested
    class Take {

        @Test
        void should_admit_burst_and_then_rate() {
            assertThat(bucket.tryTake(5_000, START)).isTrue();
            assertThat(bucket.tryTake(1, START)).isFalse();
            assertThat(bucket.tryTake(1_000, after(1_000))).isTrue();
        }

        @Test
        void should_return_the_time_until_enough_tokens_are_available() {
            bucket.tryTake(5_000, START);
            assertThat(bucket.timeUntil(500, START)).isEqualTo(Duration.ofMillis(500));
        }

        @Test
        void should_admit_a_request_larger_than_the_burst_when_the_bucket_is_full() {
            assertThat(bucket.tryTake(7_000, START)).isTrue();
            assertThat(bucket.level(START)).isEqualTo(-2_000);
        }

        @Test
        void should_not_count_tokens_when_they_were_refunded() {
            bucket.tryTake(5_000, START);
            bucket.refund(5_000, START);
            assertThat(bucket.tryTake(5_000, START)).isTrue();
            assertThat(bucket.admitted()).isEqualTo(5_000);
        }
    }

    @Nested
    class Peers {

        @Test
        void should_subtract_the_tokens_that_a_peer_admitted_since_its_last_report() {
            bucket.applyPeerTotal("b", 1, 100, START);
            bucket.applyPeerTotal("b", 1, 2_100, START);
            assertThat(bucket.level(START)).isEqualTo(3_000);
        }

        @Test
        void should_catch_up_when_reports_were_lost() {
            bucket.applyPeerTotal("b", 1, 0, START);
            bucket.applyPeerTotal("b", 1, 4_000, START);
            assertThat(bucket.tryTake(2_000, START)).isFalse();
        }

        @Test
        void should_subtract_the_whole_total_when_a_peer_has_restarted() {
            bucket.applyPeerTotal("b", 1, 9_000, START);
            bucket.applyPeerTotal("b", 2, 1_000, START);
            assertThat(bucket.level(START)).isEqualTo(4_000);
        }
    }

    @Nested
    class Reports {

        @Test
        void should_be_urgent_when_the_fleet_could_have_admitted_half_of_the_level_unreported() {
            bucket.tryTake(250, START);
            assertThat(bucket.isReportUrgent(8, START)).isFalse();
            bucket.tryTake(100, START);
            assertThat(bucket.isReportUrgent(8, START)).isTrue();
        }

        @Test
        void should_not_be_urgent_when_all_tokens_have_been_reported() {
            bucket.tryTake(5_000, START);
            bucket.markReported();
            assertThat(bucket.isReportUrgent(8, START)).isFalse();
        }

        @Test
        void should_refill_only_in_proportion_to_the_fraction_of_the_fleet_that_has_reported_recently() {
            bucket.tryTake(5_000, START);
            bucket.setRecentlyReportedFraction(0.5, START);
            assertThat(bucket.level(after(1_000))).isEqualTo(500);
            bucket.setRecentlyReportedFraction(1, after(1_000));
            assertThat(bucket.level(after(2_000))).isEqualTo(1_500);
        }

        @Test
        void should_be_requested_when_a_team_has_spent_many_unreported_tokens() {
            AtomicInteger reportRequests = new AtomicInteger();
            FleetRateLimiter limits = new FleetRateLimiter(true, () -> 8, reportRequests::incrementAndGet);
            limits.configure(List.of(TEAM), START);
            limits.tryTake(TEAM, 100, START);
            assertThat(reportRequests).hasValue(0);
            limits.tryTake(TEAM, 1_000, START);
            assertThat(reportRequests).hasValue(1);
        }
    }

    @Nested
    class Partition {

        @Test
        void should_use_rate_and_burst_in_proportion_to_the_reachable_fraction_of_the_fleet() {
            bucket.setReachableFraction(0.25, START);
            assertThat(bucket.tryTake(1_250, START)).isTrue();
            assertThat(bucket.tryTake(1, START)).isFalse();
            assertThat(bucket.tryTake(250, after(1_000))).isTrue();
            assertThat(bucket.tryTake(1, after(1_000))).isFalse();
        }

        @Test
        void should_keep_the_sum_of_all_partitions_within_rate_and_burst() {
            FleetTokenBucket other = new FleetTokenBucket(RATE, BURST, 1, START);
            bucket.setReachableFraction(0.5, START);
            other.setReachableFraction(0.5, START);
            long admitted = 0;
            for (int step = 0; step <= 100; step++) {
                MonotonicTime now = after(step * 100L);
                admitted += bucket.tryTake(200, now) ? 200 : 0;
                admitted += other.tryTake(200, now) ? 200 : 0;
            }
            assertThat(admitted).isLessThanOrEqualTo(15_000);
        }
    }

    @Nested
    class Restart {

        @Test
        void should_not_refill_the_burst_when_the_process_restarts() {
            FleetRateLimiter limits = new FleetRateLimiter(false, () -> 8, () -> {});
            limits.configure(List.of(TEAM), START);
            assertThat(limits.tryTake(TEAM, 500, START)).isEqualTo(Duration.ofMillis(500));
        }
    }
}
