package org.pollenhoist.serving.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;

/** The buckets of nine VMs against a central one with perfect knowledge, over simulated time. */
class FleetTokenBucketSimulationTest {

    private static final int VMS = 9;
    private static final double RATE = 68_000;
    private static final double BURST = 68_000;
    private static final int STEP_MILLISECONDS = 10;
    private static final int DIGEST_MILLISECONDS = 250;
    private static final int FAR_DIGEST_MILLISECONDS = 500;
    private static final int HEARD_MILLISECONDS = 1_600;
    private static final int CURRENT_MILLISECONDS = 750;
    private static final int CURRENT_UNDER_PRESSURE_MILLISECONDS = 400;

    /** The platform's bound over any window: a tenth and a fixed number of tokens beyond rate and burst. */
    private static final long WINDOW_MILLISECONDS = 8_000;

    private static final double WINDOW_LIMIT = (RATE * WINDOW_MILLISECONDS / 1_000 + BURST) * 1.1 + 17_000;

    private record Admission(long time, long tokens) {}

    private static MonotonicTime at(long milliseconds) {
        return MonotonicTime.of(Duration.ofMillis(1_000_000 + milliseconds));
    }

    /** One history: demand as a part of the rate, and whether the fleet falls into three parts half-way. */
    private static final class History {

        private final Random random;
        private final double demand;
        private final double lostPart;
        private final boolean isPartitioned;
        private final List<FleetTokenBucket> buckets = new ArrayList<>();
        private final FleetTokenBucket central = new FleetTokenBucket(RATE, BURST, 1, at(0));
        private final long[][] heardAt = new long[VMS][VMS];
        private final List<Admission> admitted = new ArrayList<>();
        private long requests;
        private long wrongfulRefusals;

        private History(long seed, double demand, double lostPart, boolean isPartitioned) {
            this.random = new Random(seed);
            this.demand = demand;
            this.lostPart = lostPart;
            this.isPartitioned = isPartitioned;
            for (int vm = 0; vm < VMS; vm++) {
                buckets.add(new FleetTokenBucket(RATE, BURST, 1, at(0)));
            }
        }

        private History play(long milliseconds) {
            double due = 0;
            for (long time = 0; time < milliseconds; time += STEP_MILLISECONDS) {
                boolean isCut = isPartitioned && time > milliseconds / 3 && time < 2 * milliseconds / 3;
                exchange(time, isCut);
                due += RATE * demand * STEP_MILLISECONDS / 1_000;
                while (due > 0) {
                    long tokens = 500L + random.nextInt(4_000);
                    due -= tokens;
                    ask(tokens, time);
                }
            }
            return this;
        }

        private void exchange(long time, boolean isCut) {
            for (int sender = 0; sender < VMS; sender++) {
                // All VMs stand in failure domains of their own here, so that each digest is one between domains.
                boolean isNearLimit = buckets.get(sender).isNearLimit(at(time));
                int interval = isNearLimit ? DIGEST_MILLISECONDS : FAR_DIGEST_MILLISECONDS;
                boolean isDue = (time + sender * 20L) % interval == 0;
                if (isDue || buckets.get(sender).isReportUrgent(VMS, at(time))) {
                    report(sender, time, isCut);
                }
            }
            for (int vm = 0; vm < VMS; vm++) {
                buckets.get(vm).setReachableFraction(part(vm, time, HEARD_MILLISECONDS), at(time));
                boolean isNearLimit = buckets.get(vm).isNearLimit(at(time));
                int current = isNearLimit ? CURRENT_UNDER_PRESSURE_MILLISECONDS : CURRENT_MILLISECONDS;
                buckets.get(vm).setRecentlyReportedFraction(part(vm, time, current), at(time));
            }
        }

        private void report(int sender, long time, boolean isCut) {
            buckets.get(sender).markReported();
            for (int receiver = 0; receiver < VMS; receiver++) {
                boolean isReached = !isCut || sender % 3 == receiver % 3;
                if (receiver != sender && isReached && random.nextDouble() >= lostPart) {
                    buckets.get(receiver)
                            .applyPeerTotal(
                                    "vm" + sender, 1, buckets.get(sender).admitted(), at(time));
                    heardAt[receiver][sender] = time;
                }
            }
        }

        private double part(int vm, long time, int withinMilliseconds) {
            int heard = 1;
            for (int peer = 0; peer < VMS; peer++) {
                heard += peer != vm && time - heardAt[vm][peer] < withinMilliseconds ? 1 : 0;
            }
            return (double) heard / VMS;
        }

        private void ask(long tokens, long time) {
            requests++;
            boolean isInLimit = central.tryTake(tokens, at(time));
            if (buckets.get(random.nextInt(VMS)).tryTake(tokens, at(time))) {
                admitted.add(new Admission(time, tokens));
            } else if (isInLimit) {
                wrongfulRefusals++;
            }
        }

        private long mostInWindow() {
            long most = 0;
            long sum = 0;
            int begin = 0;
            for (Admission last : admitted) {
                sum += last.tokens();
                while (admitted.get(begin).time() <= last.time() - WINDOW_MILLISECONDS) {
                    sum -= admitted.get(begin++).tokens();
                }
                most = Math.max(most, sum);
            }
            return most;
        }
    }

    @Nested
    class SteadyDemand {

        /** Nine tenths of the rate, wherever it lands. */
        @Test
        void should_refuse_nothing_inside_the_rate() {
            for (long seed = 1; seed <= 10; seed++) {
                History history = new History(seed, 0.9, 0.01, false).play(60_000);
                assertThat(history.requests).isGreaterThan(1_000);
                assertThat(history.wrongfulRefusals).as("seed %s", seed).isZero();
            }
        }
    }

    @Nested
    class Excess {

        /** One team asks seven times its rate. */
        @Test
        void should_stay_within_the_platforms_bound_in_every_window() {
            for (long seed = 1; seed <= 10; seed++) {
                long most = new History(seed, 7, 0.01, false).play(60_000).mostInWindow();
                assertThat((double) most).as("seed %s", seed).isLessThanOrEqualTo(WINDOW_LIMIT);
            }
        }

        /** The same while the fleet falls into three parts and comes together again. */
        @Test
        void should_stay_within_the_platforms_bound_through_a_partition() {
            for (long seed = 1; seed <= 10; seed++) {
                long most = new History(seed, 7, 0.01, true).play(60_000).mostInWindow();
                assertThat((double) most).as("seed %s", seed).isLessThanOrEqualTo(WINDOW_LIMIT);
            }
        }
    }
}
