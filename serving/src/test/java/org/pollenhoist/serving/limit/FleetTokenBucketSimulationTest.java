package org.pollenhoist.serving.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;

/** Compares the buckets of nine VMs with a central bucket that sees every request, in a simulation. */
class FleetTokenBucketSimulationTest {

    private static final int VMS = 9;
    private static final double RATE = 68_000;
    private static final double BURST = 68_000;
    private static final int STEP_MILLISECONDS = 10;
    private static final int DIGEST_MILLISECONDS = 250;
    private static final int CROSS_DOMAIN_DIGEST_MILLISECONDS = 500;
    private static final int REACHABLE_MILLISECONDS = 1_600;
    private static final int RECENT_MILLISECONDS = 750;
    private static final int RECENT_NEAR_LIMIT_MILLISECONDS = 400;

    /** The platform's limit for any window: rate and burst, plus a tenth of both and a fixed number of tokens. */
    private static final long WINDOW_MILLISECONDS = 8_000;

    private static final double WINDOW_LIMIT = (RATE * WINDOW_MILLISECONDS / 1_000 + BURST) * 1.1 + 17_000;

    private record Admission(long time, long tokens) {}

    private static MonotonicTime at(long milliseconds) {
        return MonotonicTime.of(Duration.ofMillis(1_000_000 + milliseconds));
    }

    /** One simulation run; the demand is a multiple of the rate, and a partition splits the fleet into three. */
    private static final class Simulation {

        private final Random random;
        private final double demand;
        private final double lossRate;
        private final boolean isPartitioned;
        private final List<FleetTokenBucket> buckets = new ArrayList<>();
        private final FleetTokenBucket central = new FleetTokenBucket(RATE, BURST, 1, at(0));
        private final long[][] receivedAt = new long[VMS][VMS];
        private final List<Admission> admitted = new ArrayList<>();
        private long requests;
        private long wrongfulRefusals;

        private Simulation(long seed, double demand, double lossRate, boolean isPartitioned) {
            this.random = new Random(seed);
            this.demand = demand;
            this.lossRate = lossRate;
            this.isPartitioned = isPartitioned;
            for (int vm = 0; vm < VMS; vm++) {
                buckets.add(new FleetTokenBucket(RATE, BURST, 1, at(0)));
            }
        }

        private Simulation run(long milliseconds) {
            double due = 0;
            for (long time = 0; time < milliseconds; time += STEP_MILLISECONDS) {
                boolean isSplit = isPartitioned && time > milliseconds / 3 && time < 2 * milliseconds / 3;
                exchange(time, isSplit);
                due += RATE * demand * STEP_MILLISECONDS / 1_000;
                while (due > 0) {
                    long tokens = 500L + random.nextInt(4_000);
                    due -= tokens;
                    dispatch(tokens, time);
                }
            }
            return this;
        }

        private void exchange(long time, boolean isSplit) {
            for (int sender = 0; sender < VMS; sender++) {
                // Each VM is in a failure domain of its own here, so that every digest crosses failure domains.
                boolean isNearLimit = buckets.get(sender).isNearLimit(at(time));
                int interval = isNearLimit ? DIGEST_MILLISECONDS : CROSS_DOMAIN_DIGEST_MILLISECONDS;
                boolean isDue = (time + sender * 20L) % interval == 0;
                if (isDue || buckets.get(sender).isReportUrgent(VMS, at(time))) {
                    report(sender, time, isSplit);
                }
            }
            for (int vm = 0; vm < VMS; vm++) {
                buckets.get(vm).setReachableFraction(fraction(vm, time, REACHABLE_MILLISECONDS), at(time));
                boolean isNearLimit = buckets.get(vm).isNearLimit(at(time));
                int recent = isNearLimit ? RECENT_NEAR_LIMIT_MILLISECONDS : RECENT_MILLISECONDS;
                buckets.get(vm).setRecentlyReportedFraction(fraction(vm, time, recent), at(time));
            }
        }

        private void report(int sender, long time, boolean isSplit) {
            buckets.get(sender).markReported();
            for (int receiver = 0; receiver < VMS; receiver++) {
                boolean isReached = !isSplit || sender % 3 == receiver % 3;
                if (receiver != sender && isReached && random.nextDouble() >= lossRate) {
                    buckets.get(receiver)
                            .applyPeerTotal(
                                    "vm" + sender, 1, buckets.get(sender).admitted(), at(time));
                    receivedAt[receiver][sender] = time;
                }
            }
        }

        private double fraction(int vm, long time, int withinMilliseconds) {
            int reporting = 1;
            for (int peer = 0; peer < VMS; peer++) {
                reporting += peer != vm && time - receivedAt[vm][peer] < withinMilliseconds ? 1 : 0;
            }
            return (double) reporting / VMS;
        }

        private void dispatch(long tokens, long time) {
            requests++;
            boolean isInLimit = central.tryTake(tokens, at(time));
            if (buckets.get(random.nextInt(VMS)).tryTake(tokens, at(time))) {
                admitted.add(new Admission(time, tokens));
            } else if (isInLimit) {
                wrongfulRefusals++;
            }
        }

        private long maximumInWindow() {
            long maximum = 0;
            long sum = 0;
            int begin = 0;
            for (Admission last : admitted) {
                sum += last.tokens();
                while (admitted.get(begin).time() <= last.time() - WINDOW_MILLISECONDS) {
                    sum -= admitted.get(begin++).tokens();
                }
                maximum = Math.max(maximum, sum);
            }
            return maximum;
        }
    }

    @Nested
    class SteadyDemand {

        /** The demand is nine tenths of the rate, distributed over random VMs. */
        @Test
        void should_refuse_nothing_when_the_demand_is_within_the_rate() {
            for (long seed = 1; seed <= 10; seed++) {
                Simulation simulation = new Simulation(seed, 0.9, 0.01, false).run(60_000);
                assertThat(simulation.requests).isGreaterThan(1_000);
                assertThat(simulation.wrongfulRefusals).as("seed %s", seed).isZero();
            }
        }
    }

    @Nested
    class Excess {

        /** A team demands seven times its rate. */
        @Test
        void should_stay_within_the_platforms_limit_in_every_window() {
            for (long seed = 1; seed <= 10; seed++) {
                long maximum = new Simulation(seed, 7, 0.01, false).run(60_000).maximumInWindow();
                assertThat((double) maximum).as("seed %s", seed).isLessThanOrEqualTo(WINDOW_LIMIT);
            }
        }

        /** The same demand while the fleet is split into three partitions that later reunite. */
        @Test
        void should_stay_within_the_platforms_limit_when_the_fleet_is_partitioned() {
            for (long seed = 1; seed <= 10; seed++) {
                long maximum = new Simulation(seed, 7, 0.01, true).run(60_000).maximumInWindow();
                assertThat((double) maximum).as("seed %s", seed).isLessThanOrEqualTo(WINDOW_LIMIT);
            }
        }
    }
}
