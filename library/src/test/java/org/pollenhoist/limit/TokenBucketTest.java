package org.pollenhoist.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TokenBucketTest {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final double RATE = 10;
    private static final double BURST = 100;

    private final TokenBucket bucket = new TokenBucket(0);

    private void fill() {
        bucket.resize(RATE, BURST);
        bucket.advance(100 * SECOND);
    }

    @Nested
    class Advance {

        @Test
        void should_begin_empty_and_refill_at_the_rate() {
            bucket.resize(RATE, BURST);

            bucket.advance(3 * SECOND);

            assertThat(bucket.level()).isEqualTo(30);
        }

        @Test
        void should_change_nothing_when_the_time_lies_before_the_last_one() {
            fill();
            bucket.remove(50);

            bucket.advance(SECOND);

            assertThat(bucket.level()).isEqualTo(50);
        }
    }

    @Nested
    class Settle {

        @Test
        void should_return_what_was_not_used_when_the_bucket_had_room_all_along() {
            fill();
            TokenBucket.Outstanding reservation = bucket.reserve(60);

            double returned = bucket.settle(reservation, 20);

            assertThat(returned).isEqualTo(40);
            assertThat(bucket.level()).isEqualTo(80);
        }

        @Test
        void should_not_return_tokens_twice() {
            fill();
            TokenBucket.Outstanding reservation = bucket.reserve(60);
            bucket.settle(reservation, 20);

            assertThat(bucket.settle(reservation, 0)).isZero();
            assertThat(bucket.level()).isEqualTo(80);
        }

        @Test
        void should_return_only_what_fits_when_the_refill_would_have_overflowed_meanwhile() {
            fill();
            TokenBucket.Outstanding reservation = bucket.reserve(100);
            bucket.advance(105 * SECOND);
            bucket.reserve(50);

            double returned = bucket.settle(reservation, 0);

            assertThat(returned).isEqualTo(50);
            assertThat(bucket.level()).isEqualTo(50);
        }

        @Test
        void should_take_more_when_more_was_used_than_reserved() {
            fill();
            TokenBucket.Outstanding reservation = bucket.reserve(60);

            double returned = bucket.settle(reservation, 70);

            assertThat(returned).isEqualTo(-10);
            assertThat(bucket.level()).isEqualTo(30);
        }

        @Test
        void should_keep_used_tokens_within_burst_and_rate_over_every_interval() {
            for (long seed = 1; seed <= 200; seed++) {
                assertThat(largestExcess(seed)).as("seed %d", seed).isLessThan(1e-6);
            }
        }
    }

    /** Runs random reservations and settlements and compares the tokens used, counted at admission, with a bucket. */
    private static double largestExcess(long seed) {
        Random random = new Random(seed);
        TokenBucket bucket = new TokenBucket(0);
        bucket.resize(RATE, BURST);
        List<TokenBucket.Outstanding> running = new ArrayList<>();
        List<Integer> indexes = new ArrayList<>();
        List<Double> used = new ArrayList<>();
        List<Long> times = new ArrayList<>();
        long now = 0;
        for (int step = 0; step < 400; step++) {
            now += random.nextLong(2 * SECOND);
            bucket.advance(now);
            double bound = 1 + random.nextInt(60);
            if (random.nextBoolean() && bucket.level() >= bound) {
                running.add(bucket.reserve(bound));
                indexes.add(used.size());
                used.add(bound);
                times.add(now);
            } else if (!running.isEmpty()) {
                int chosen = random.nextInt(running.size());
                int index = indexes.remove(chosen);
                double bounded = used.get(index);
                double actual = random.nextInt(3) == 0 ? 0 : random.nextDouble() * bounded;
                bucket.settle(running.remove(chosen), actual);
                used.set(index, actual);
            }
        }
        return excess(times, used);
    }

    private static double excess(List<Long> times, List<Double> used) {
        double backlog = 0;
        double largest = 0;
        long last = 0;
        for (int index = 0; index < times.size(); index++) {
            backlog = Math.max(0, backlog - RATE * (times.get(index) - last) / SECOND) + used.get(index);
            last = times.get(index);
            largest = Math.max(largest, backlog - BURST);
        }
        return largest;
    }
}
