package org.pollenhoist.serving.returns;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Function;
import java.util.function.LongConsumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;

/**
 * A crowd of callers that several VMs refuse at once return when told, each at any VM. Compared is how many are served
 * at their return: when each VM keeps a ledger, and when all callers are told the same time.
 */
class ReturningCrowdTest {

    private static final int SEEDS = 20;

    /** How many of the callers, in a hundred, the ledger may serve less in one seed. */
    private static final int TOLERATED_PERCENT = 2;

    private static final Duration CONSTANT_RETRY = Duration.ofMillis(700);

    /** Before the burst, the pool starts as many requests as it can. */
    private static final int BUSY = 1;

    /** Before the burst, the pool starts one in so many of the requests that it could. */
    private static final int QUIET = 5;

    @Test
    void should_serve_more_at_the_first_return_when_many_are_refused_at_once() {
        int callers = 100;
        List<Integer> withLedger = servedBySeed(callers, BUSY, Crowd::ledgerReturn);
        List<Integer> withConstant = servedBySeed(callers, BUSY, caller -> CONSTANT_RETRY);

        assertThat(sum(withLedger))
                .as("served by seed, ledger %s, constant %s", withLedger, withConstant)
                .isGreaterThan(sum(withConstant));
        assertNoSeedWorse(withLedger, withConstant, callers);
    }

    @Test
    void should_serve_as_many_when_few_are_refused() {
        int callers = 5;
        List<Integer> withLedger = servedBySeed(callers, BUSY, Crowd::ledgerReturn);
        List<Integer> withConstant = servedBySeed(callers, BUSY, caller -> CONSTANT_RETRY);

        assertNoSeedWorse(withLedger, withConstant, callers);
    }

    @Test
    void should_serve_no_fewer_when_little_was_asked_of_the_pool_before() {
        int callers = 100;
        List<Integer> withLedger = servedBySeed(callers, QUIET, Crowd::ledgerReturn);
        List<Integer> withConstant = servedBySeed(callers, QUIET, caller -> CONSTANT_RETRY);

        assertNoSeedWorse(withLedger, withConstant, callers);
    }

    private static void assertNoSeedWorse(List<Integer> withLedger, List<Integer> withConstant, int callers) {
        assertThat(IntStream.range(0, SEEDS))
                .allSatisfy(seed -> assertThat(withLedger.get(seed) + callers * TOLERATED_PERCENT / 100)
                        .as("seed %s; served by seed, ledger %s, constant %s", seed, withLedger, withConstant)
                        .isGreaterThanOrEqualTo(withConstant.get(seed)));
    }

    private static int sum(List<Integer> counts) {
        return counts.stream().mapToInt(Integer::intValue).sum();
    }

    private static List<Integer> servedBySeed(int callers, int load, Function<Crowd.Refused, Duration> policy) {
        return IntStream.range(0, SEEDS)
                .mapToObj(seed -> new Crowd(seed, policy).servedReturners(callers, load))
                .toList();
    }

    /** VMs before one pool, which starts requests one after another; a request waits for a start, but not for long. */
    private static final class Crowd {

        private static final int VMS = 6;
        private static final int STARTS_PER_SECOND = 20;
        private static final long SECOND = Duration.ofSeconds(1).toNanos();
        private static final long BETWEEN_STARTS = SECOND / STARTS_PER_SECOND;
        private static final long LONGEST_WAIT = Duration.ofMillis(720).toNanos();
        private static final long BURST_AT = 60 * SECOND;
        /** Callers are refused only once they have waited, so the pool has been full for a while by then. */
        private static final long FULL_FROM = BURST_AT - LONGEST_WAIT;

        private static final long BURST_LENGTH = Duration.ofMillis(300).toNanos();
        private static final long END = BURST_AT + 10 * SECOND;

        /** Newcomers after the burst, as a part of what the pool can start. */
        private static final double NEWCOMERS = 0.5;

        private static final Pool POOL = new Pool("llm", "m");

        private final List<ReturnLedger> ledgers = new ArrayList<>();
        private final PriorityQueue<Event> events =
                new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
        private final Random random;
        private final Function<Refused, Duration> policy;
        private long eventCount;
        private long freeAt;
        private int served;

        private record Event(long at, long number, LongConsumer action) {}

        private record Refused(ReturnLedger ledger, int priority, long at, Duration latest) {}

        private Crowd(int seed, Function<Refused, Duration> policy) {
            this.random = new Random(seed);
            this.policy = policy;
            IntStream.range(0, VMS).forEach(vm -> ledgers.add(new ReturnLedger()));
        }

        private static Duration ledgerReturn(Refused caller) {
            MonotonicTime now = new MonotonicTime(caller.at());
            ReturnRequest request = new ReturnRequest(POOL, caller.priority(), now, CONSTANT_RETRY, caller.latest());
            return caller.ledger().promise(request, now).after();
        }

        private int servedReturners(int callers, int load) {
            for (long at = 0; at < BURST_AT; at += at < FULL_FROM ? load * BETWEEN_STARTS : BETWEEN_STARTS) {
                schedule(at, now -> arrive(now, false));
            }
            long at = BURST_AT;
            while (at < END) {
                schedule(at, now -> arrive(now, false));
                at += (long) (-Math.log(1 - random.nextDouble()) * BETWEEN_STARTS / NEWCOMERS);
            }
            for (int caller = 0; caller < callers; caller++) {
                int priority = random.nextInt(2);
                Duration latest = Duration.ofMillis(2_000 + random.nextInt(3_000));
                schedule(BURST_AT + random.nextLong(BURST_LENGTH), now -> refuse(priority, now, latest));
            }
            while (!events.isEmpty()) {
                Event next = events.poll();
                next.action().accept(next.at());
            }
            return served;
        }

        private void schedule(long at, LongConsumer action) {
            events.add(new Event(at, eventCount++, action));
        }

        private ReturnLedger anyVm() {
            return ledgers.get(random.nextInt(VMS));
        }

        private void refuse(int priority, long now, Duration latest) {
            Duration told = policy.apply(new Refused(anyVm(), priority, now, latest));
            long waited = Math.min(told.toNanos(), latest.toNanos());
            schedule(now + waited, at -> arrive(at, true));
        }

        private void arrive(long now, boolean isReturner) {
            long startAt = Math.max(now, freeAt);
            if (startAt - now > LONGEST_WAIT) {
                return;
            }
            freeAt = startAt + BETWEEN_STARTS;
            ReturnLedger vm = anyVm();
            schedule(startAt, at -> vm.recordStart(POOL, new MonotonicTime(at)));
            served += isReturner ? 1 : 0;
        }
    }
}
