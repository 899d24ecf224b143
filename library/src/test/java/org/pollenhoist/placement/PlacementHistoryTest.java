package org.pollenhoist.placement;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Function;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.configuration.Model;
import org.pollenhoist.configuration.WeightStoreLimits;
import org.pollenhoist.platform.WriteOutcome;
import org.pollenhoist.upstream.EngineItem;
import org.slf4j.LoggerFactory;

/** Runs the coordinators unchanged against small fakes over many seeds and checks the engines' true state. */
class PlacementHistoryTest {

    private static final int SEEDS = Integer.getInteger("placement.seeds", 40);
    private static final int MUTANT_SEEDS = 60;
    private static final long FAULTY_MILLIS = 600_000;
    private static final long QUIET_MILLIS = 300_000;
    private static final Duration WINDOW = Duration.ofSeconds(30);
    private static final PlacementPolicy DEMAND_DRIVEN = new DemandDrivenPolicy(PolicySettings.standard());

    @BeforeAll
    static void silenceDecisionLog() {
        ((Logger) LoggerFactory.getLogger("pollenhoist.placement")).setLevel(Level.OFF);
    }

    private static FakeFleet.Options options(boolean isChecking, PlacementPolicy policy) {
        return new FakeFleet.Options(isChecking, true, true, 90_000, WINDOW, FakeFleet.LIMITS, policy);
    }

    private static List<String> firstBreaches(
            Function<Random, FakePlatform> platform, Function<Long, FakeFleet.Options> options) {
        for (long seed = 1; seed <= MUTANT_SEEDS; seed++) {
            List<String> breaches = breaches(seed, seed, platform, options);
            if (!breaches.isEmpty()) {
                return breaches;
            }
        }
        return List.of();
    }

    private static List<String> breaches(
            Function<Random, FakePlatform> platform, Function<Long, FakeFleet.Options> options) {
        return breaches(1, SEEDS, platform, options);
    }

    private static List<String> breaches(
            long firstSeed,
            long lastSeed,
            Function<Random, FakePlatform> platform,
            Function<Long, FakeFleet.Options> options) {
        List<String> breaches = new ArrayList<>();
        for (long seed = firstSeed; seed <= lastSeed; seed++) {
            FakeFleet fleet = new FakeFleet(seed, options.apply(seed), platform.apply(new Random(~seed)));
            fleet.run(FAULTY_MILLIS, true);
            for (String breach : fleet.checker.breaches) {
                breaches.add("seed " + seed + ": " + breach);
            }
        }
        return breaches;
    }

    /** Proposes anything, to show that safety does not rest on the policy. */
    static PlacementPolicy hostile(long seed) {
        Random random = new Random(seed);
        return (state, memory, now) -> {
            List<Move> moves = new ArrayList<>();
            List<UpstreamState> upstreams = List.copyOf(state.upstreams().values());
            List<Model> models = List.copyOf(state.models().values());
            for (int count = 0; count < 6 && !upstreams.isEmpty(); count++) {
                UpstreamState upstream = upstreams.get(random.nextInt(upstreams.size()));
                Model model = models.get(random.nextInt(models.size()));
                EngineItem item = Footprint.modelItem(model);
                moves.add(
                        random.nextBoolean()
                                ? new Move.Load(upstream.name(), item, model.memoryBytes(), Move.Reason.DEMAND, now)
                                : new Move.Unload(upstream.name(), item, Move.Reason.EVICTED));
            }
            return new PlacementPolicy.Proposal(moves, memory);
        };
    }

    @Nested
    class Safety {

        @Test
        void should_keep_every_rule_when_engines_refuse_old_fencing_numbers() {
            assertThat(breaches(FakePlatform::new, seed -> options(true, DEMAND_DRIVEN)))
                    .isEmpty();
        }

        @Test
        void should_keep_every_rule_when_engines_ignore_fencing_numbers() {
            assertThat(breaches(FakePlatform::new, seed -> options(false, DEMAND_DRIVEN)))
                    .isEmpty();
        }

        @Test
        void should_keep_every_rule_when_the_policy_proposes_anything() {
            assertThat(breaches(FakePlatform::new, seed -> options(seed % 2 == 0, hostile(seed))))
                    .isEmpty();
        }

        @Test
        void should_keep_memory_and_reachability_when_engines_forget_orders_but_copies_come_within_the_window() {
            assertThat(breaches(
                            FakePlatform::new,
                            seed -> new FakeFleet.Options(
                                    false, false, true, 20_000, WINDOW, FakeFleet.LIMITS, hostile(seed))))
                    .filteredOn(breach -> !breach.contains(": store "))
                    .isEmpty();
        }
    }

    @Nested
    class Liveness {

        @Test
        void should_hold_two_copies_of_every_model_when_faults_have_ended() {
            for (long seed = 1; seed <= SEEDS; seed++) {
                FakeFleet fleet =
                        new FakeFleet(seed, options(seed % 2 == 0, DEMAND_DRIVEN), new FakePlatform(new Random(~seed)));
                fleet.run(FAULTY_MILLIS, true);
                fleet.run(QUIET_MILLIS, false);
                for (Model model : fleet.models()) {
                    long copies = fleet.engines.values().stream()
                            .filter(engine -> engine.isReady(Footprint.modelItem(model)))
                            .count();
                    assertThat(copies)
                            .as("copies of %s, seed %d", model.name(), seed)
                            .isGreaterThanOrEqualTo(2);
                }
            }
        }
    }

    /** Each mutant takes one mechanism away; the checker must see it. */
    @Nested
    class Mutants {

        @Test
        void should_find_a_breach_when_ledgers_are_written_without_comparing_versions() {
            Function<Random, FakePlatform> platform = random -> new FakePlatform(random) {
                @Override
                boolean isAccepted(long expectedVersion, long actual) {
                    return true;
                }
            };

            assertThat(firstBreaches(platform, seed -> options(false, hostile(seed))))
                    .isNotEmpty();
        }

        @Test
        void should_find_a_breach_when_a_lost_answer_counts_as_written() {
            Function<Random, FakePlatform> platform = random -> new FakePlatform(random) {
                @Override
                public WriteOutcome compareAndSwap(
                        String key, long expectedVersion, byte[] content, Optional<String> lease) {
                    WriteOutcome outcome = super.compareAndSwap(key, expectedVersion, content, lease);
                    return outcome instanceof WriteOutcome.Unknown
                            ? new WriteOutcome.Written(expectedVersion + 1)
                            : outcome;
                }
            };

            assertThat(firstBreaches(platform, seed -> options(false, hostile(seed))))
                    .isNotEmpty();
        }

        @Test
        void should_find_a_breach_when_ledgers_do_not_contain_orders() {
            Function<Random, FakePlatform> platform = random -> new FakePlatform(random) {
                @Override
                public WriteOutcome compareAndSwap(
                        String key, long expectedVersion, byte[] content, Optional<String> lease) {
                    return super.compareAndSwap(key, expectedVersion, withoutOrders(key, content), lease);
                }
            };

            assertThat(firstBreaches(platform, seed -> options(false, hostile(seed))))
                    .isNotEmpty();
        }

        private byte[] withoutOrders(String key, byte[] content) {
            if (!key.startsWith("placement/ledger/")) {
                return content;
            }
            UpstreamLedger ledger = LedgerCodec.decode(key, content);
            return LedgerCodec.encode(new UpstreamLedger(
                    ledger.upstream(),
                    ledger.capacityBytes(),
                    ledger.writer(),
                    ledger.change(),
                    ledger.incarnation(),
                    ledger.sequence(),
                    ledger.residents(),
                    List.of()));
        }

        @Test
        void should_find_a_breach_when_orders_reach_later_incarnations() {
            assertThat(firstBreaches(
                            FakePlatform::new,
                            seed -> new FakeFleet.Options(
                                    false, true, false, 90_000, Duration.ZERO, FakeFleet.LIMITS, hostile(seed))))
                    .isNotEmpty();
        }

        @Test
        void should_find_a_breach_when_late_copies_of_settled_orders_are_not_reckoned_with() {
            assertThat(firstBreaches(
                            FakePlatform::new,
                            seed -> new FakeFleet.Options(
                                    false, false, true, 20_000, Duration.ZERO, FakeFleet.LIMITS, hostile(seed))))
                    .isNotEmpty();
        }

        @Test
        void should_find_a_breach_when_the_store_limits_are_not_kept() {
            WeightStoreLimits tenfold = new WeightStoreLimits(20, 50, 400);

            assertThat(firstBreaches(
                            FakePlatform::new,
                            seed -> new FakeFleet.Options(false, true, true, 90_000, WINDOW, tenfold, hostile(seed))))
                    .isNotEmpty();
        }
    }
}
