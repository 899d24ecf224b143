package org.pollenhoist.operator;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.configuration.Configurations;
import org.pollenhoist.configuration.KeyRecord;
import org.pollenhoist.operator.CommitHistory.Operation;
import org.pollenhoist.operator.CommitHistory.Told;
import org.pollenhoist.platform.ConfigurationStore;
import org.pollenhoist.platform.Faults;
import org.pollenhoist.platform.FaultyPlatform;
import org.pollenhoist.platform.InMemoryPlatform;
import org.pollenhoist.platform.Interleaving;
import org.pollenhoist.platform.PlatformService;
import org.pollenhoist.platform.StoredValue;
import org.pollenhoist.platform.WriteOutcome;

/** Operators race over a store with faults; what they were told is checked against all that the store held. */
class CommitHistoryTest {

    private static final int SEEDS = 60;
    private static final int OPERATORS = 4;
    private static final int CHANGES_PER_OPERATOR = 6;
    private static final TeamName TEAM = TeamName.of("crews");

    /** One run: a seed, what the operators talk to, and what came of it. */
    private static final class Run {

        private final InMemoryPlatform platform = new InMemoryPlatform();
        private final CommitHistory history = new CommitHistory();
        private final AtomicInteger marks = new AtomicInteger(1_000);
        private final Faults faults = Faults.frequent();
        private final Random random;
        private final Interleaving interleaving;
        private final Function<PlatformService, PlatformService> mutation;

        Run(long seed, Function<PlatformService, PlatformService> mutation) {
            random = new Random(seed);
            interleaving = new Interleaving(random);
            this.mutation = mutation;
        }

        List<String> violations() {
            new ConfigurationCommit(platform, duration -> {}).apply(Configurations.small(), OptionalLong.empty());
            List<Runnable> actors = new ArrayList<>();
            for (int operator = 0; operator < OPERATORS; operator++) {
                int number = operator;
                actors.add(() -> operate(number));
            }
            actors.add(() -> makeOutages(OPERATORS));
            interleaving.run(actors);
            faults.deliverAllLateWrites();
            return history.violations(platform);
        }

        private void makeOutages(int number) {
            for (int outage = 0; outage < 3; outage++) {
                for (int step = 0; step < 40; step++) {
                    interleaving.step(number);
                }
                faults.setDown(true);
                for (int step = 0; step < 5; step++) {
                    interleaving.step(number);
                }
                faults.setDown(false);
            }
        }

        private void operate(int number) {
            PlatformService view =
                    mutation.apply(new FaultyPlatform(platform, random, faults, () -> interleaving.step(number)));
            ConfigurationCommit commit = new ConfigurationCommit(view, duration -> interleaving.step(number));
            for (int change = 0; change < CHANGES_PER_OPERATOR; change++) {
                switch (random.nextInt(3)) {
                    case 0 -> apply(commit, 0);
                    case 1 -> apply(commit, revision());
                    default -> giveAndWithdraw(commit);
                }
            }
        }

        private void apply(ConfigurationCommit commit, long expected) {
            int rate = marks.incrementAndGet();
            OptionalLong expectation = expected == 0 ? OptionalLong.empty() : OptionalLong.of(expected);
            record("rate " + rate, false, expected, () -> commit.apply(Configurations.withRate(rate), expectation));
        }

        private void giveAndWithdraw(ConfigurationCommit commit) {
            String identifier = "key" + marks.incrementAndGet();
            KeyRecord key = new KeyRecord(identifier, TEAM, identifier);
            if (record(identifier, false, 0, () -> commit.giveKey(key)) == Told.ACCEPTED) {
                record(identifier, true, 0, () -> commit.withdrawKey(identifier));
            }
        }

        private Told record(String mark, boolean isRemoval, long expected, Supplier<Committed> change) {
            long before = revision();
            long accepted = 0;
            Told told = Told.ACCEPTED;
            try {
                accepted = change.get().revision();
            } catch (PollenhoistException exception) {
                told = switch (exception.code()) {
                    case REVISION_CONFLICT -> Told.CONFLICT;
                    case OUTCOME_UNKNOWN -> Told.UNKNOWN;
                    case NOT_FOUND -> Told.NOT_FOUND;
                    default -> Told.UNAVAILABLE;
                };
            }
            history.add(new Operation(mark, isRemoval, told, accepted, expected, before, revision()));
            return told;
        }

        private long revision() {
            return platform.read(ConfigurationStore.HEAD_KEY)
                    .map(StoredValue::version)
                    .orElse(0L);
        }
    }

    @Nested
    class RacingOperators {

        @Test
        void should_be_told_the_truth_whatever_is_lost_late_or_stale() {
            List<Told> told = new ArrayList<>();
            for (long seed = 1; seed <= SEEDS; seed++) {
                Run run = new Run(seed, view -> view);

                assertThat(run.violations()).as("seed %d", seed).isEmpty();

                run.history.operations().forEach(operation -> told.add(operation.told()));
            }
            // The faults must have been met, or the check says nothing.
            assertThat(told).contains(Told.ACCEPTED, Told.CONFLICT, Told.UNAVAILABLE);
        }
    }

    @Nested
    class Mutants {

        @Test
        void should_be_found_when_writes_ignore_the_expected_version() {
            assertThat(isFound(BlindWrites::new)).isTrue();
        }

        @Test
        void should_be_found_when_a_lost_answer_is_taken_for_a_refusal() {
            assertThat(isFound(LostAnswersAsRefusals::new)).isTrue();
        }

        @Test
        void should_be_found_when_the_confirmed_revision_may_be_stale() {
            assertThat(isFound(StaleConfirmations::new)).isTrue();
        }

        private static boolean isFound(Function<PlatformService, PlatformService> mutation) {
            return LongStream.rangeClosed(1, SEEDS)
                    .anyMatch(seed -> !new Run(seed, mutation).violations().isEmpty());
        }
    }

    /** Compare-and-swap removed: the version that stands is replaced, whichever it is. */
    private static final class BlindWrites extends ForwardingPlatform {

        BlindWrites(PlatformService inner) {
            super(inner);
        }

        @Override
        public WriteOutcome compareAndSwap(String key, long expected, byte[] content, Optional<String> lease) {
            WriteOutcome outcome = super.compareAndSwap(key, expected, content, lease);
            return outcome instanceof WriteOutcome.Conflict conflict && key.equals(ConfigurationStore.HEAD_KEY)
                    ? super.compareAndSwap(key, conflict.actualVersion(), content, lease)
                    : outcome;
        }
    }

    /** Reading back removed: the head's memory of changes is hidden, and a lost answer counts as a refusal. */
    private static final class LostAnswersAsRefusals extends ForwardingPlatform {

        private boolean isLost;

        LostAnswersAsRefusals(PlatformService inner) {
            super(inner);
        }

        @Override
        public WriteOutcome compareAndSwap(String key, long expected, byte[] content, Optional<String> lease) {
            WriteOutcome outcome = super.compareAndSwap(key, expected, content, lease);
            isLost = key.equals(ConfigurationStore.HEAD_KEY) && outcome instanceof WriteOutcome.Unknown;
            if (isLost) {
                throw ChangeRejectedException.revisionConflict(expected, expected + 1, List.of());
            }
            return outcome;
        }
    }

    /** Asking where writes are decided removed: the version comes from a read, which may be stale. */
    private static final class StaleConfirmations extends ForwardingPlatform {

        StaleConfirmations(PlatformService inner) {
            super(inner);
        }

        @Override
        public WriteOutcome remove(String key, long expectedVersion) {
            return key.equals(ConfigurationStore.HEAD_KEY)
                    ? new WriteOutcome.Conflict(
                            read(key).map(StoredValue::version).orElse(0L))
                    : super.remove(key, expectedVersion);
        }
    }
}
