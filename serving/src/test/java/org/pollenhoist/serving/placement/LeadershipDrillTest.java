package org.pollenhoist.serving.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.store.Store;
import org.pollenhoist.serving.store.StoreEras;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StoreLease;
import org.pollenhoist.serving.store.StorePage;
import org.pollenhoist.serving.store.StoreResult;
import org.pollenhoist.serving.store.StoreRevision;

/**
 * Several candidates at a store that comes back from older copies, while VMs are cut off from it. Guards against orders
 * of two VMs within a handover interval, and against a fencing token that sinks or is used by two VMs.
 */
class LeadershipDrillTest {

    private static final Duration HANDOVER_INTERVAL = Duration.ofSeconds(3);
    private static final int STEP_MILLISECONDS = 10;
    private static final int TICK_MILLISECONDS = 50;

    private record Order(String vm, long token, long at) {}

    private record Change(long revision, Optional<byte[]> claim) {}

    private static final class Simulation {

        private final Random random;
        private final List<Candidate> candidates = new ArrayList<>();
        private final List<Order> orders = new ArrayList<>();
        private final List<Change> history = new ArrayList<>();
        private final Map<Long, Long> leases = new HashMap<>();
        private Optional<byte[]> claim = Optional.empty();
        private long claimRevision;
        private long claimLease;
        private long revision = 40;
        private long historyStart = 40;
        private long lastLease;
        private long era = 1;
        private long now = 100_000;
        private Runnable restore = () -> {};

        private Simulation(long seed, int vms) {
            random = new Random(seed);
            for (int index = 0; index < vms; index++) {
                candidates.add(new Candidate("vm-" + index, index));
            }
        }

        private MonotonicTime time() {
            return MonotonicTime.of(Duration.ofMillis(now));
        }

        private void run(long milliseconds) {
            for (long end = now + milliseconds; now < end; now += STEP_MILLISECONDS) {
                expire();
                candidates.forEach(Candidate::step);
            }
        }

        private void expire() {
            leases.values().removeIf(endsAt -> endsAt <= now);
            if (claim.isPresent() && !leases.containsKey(claimLease)) {
                claim = Optional.empty();
                claimRevision = 0;
                history.add(new Change(++revision, Optional.empty()));
            }
        }

        private void takeCopy() {
            Optional<byte[]> copiedClaim = claim;
            long copiedClaimRevision = claimRevision;
            long copiedClaimLease = claimLease;
            long copiedRevision = revision;
            long copiedLastLease = lastLease;
            List<Long> copiedLeases = List.copyOf(leases.keySet());
            restore = () -> {
                claim = copiedClaim;
                claimRevision = copiedClaimRevision;
                claimLease = copiedClaimLease;
                revision = copiedRevision;
                historyStart = copiedRevision;
                lastLease = copiedLastLease;
                history.clear();
                leases.clear();
                copiedLeases.forEach(lease -> leases.put(lease, now + HANDOVER_INTERVAL.toMillis()));
                era++;
            };
        }

        private void comeBackFromCopy() {
            restore.run();
        }

        private void checkOrders(long seed) {
            Order highest = null;
            Order last = null;
            for (Order order : orders) {
                if (last != null && !last.vm().equals(order.vm())) {
                    assertThat(order.at() - last.at())
                            .as("seed %s: between %s and %s", seed, last, order)
                            .isGreaterThanOrEqualTo(HANDOVER_INTERVAL.toMillis());
                }
                if (highest != null && order.token() <= highest.token()) {
                    assertThat(order.token()).as("seed %s: %s", seed, order).isEqualTo(highest.token());
                    assertThat(order.vm()).as("seed %s: %s", seed, order).isEqualTo(highest.vm());
                }
                highest = order;
                last = order;
            }
        }

        private long ordersAfter(long at) {
            return orders.stream().filter(order -> order.at() >= at).count();
        }

        private final class Candidate implements Store {

            private final String name;
            private final int index;
            private final StoreEras eras = new StoreEras();
            private final Leadership leadership;
            private StoreRevision known = StoreRevision.NONE;
            private boolean hasRecord;
            private boolean isCutOff;
            private boolean isGone;
            private boolean isDeaf;
            private long absentSince;

            private Candidate(String name, int index) {
                this.name = name;
                this.index = index;
                leadership = new Leadership(this, "leader", name, HANDOVER_INTERVAL, false, time());
                eras.onChange(() -> leadership.onNewEra(time()));
            }

            private void step() {
                if (isGone) {
                    return;
                }
                if (!isCutOff) {
                    read();
                }
                hearPeers();
                if (now % TICK_MILLISECONDS == 0) {
                    absentSince = leadership.isVacant() ? absentSince : now;
                    leadership.tick(now - absentSince >= 150L * index, time());
                }
                if (leadership.maySendOrders(time())) {
                    leadership.recordOrder(time());
                    orders.add(new Order(name, leadership.fencingToken(), now));
                }
            }

            private void read() {
                eras.observe(era, "store");
                if (known.era() != era || known.number() < historyStart || known.number() > revision) {
                    known = new StoreRevision(era, revision);
                    if (claim.isPresent() || hasRecord) {
                        onRecord(claim, claimRevision);
                    }
                    leadership.onMissedChanges(time());
                    return;
                }
                for (Change change : List.copyOf(history)) {
                    if (change.revision() > known.number()) {
                        onRecord(change.claim(), change.revision());
                    }
                }
                known = new StoreRevision(era, revision);
            }

            private void onRecord(Optional<byte[]> value, long at) {
                hasRecord = value.isPresent();
                leadership.onRecord(
                        value.map(bytes -> new StoreItem("leader", bytes, new StoreRevision(era, at), false)), time());
            }

            private void hearPeers() {
                for (Candidate peer : candidates) {
                    if (peer != this && !peer.isGone && !isDeaf) {
                        if (peer.known.number() > 0) {
                            eras.observe(peer.known.era(), peer.name);
                        }
                        leadership.onTokenUsed(peer.leadership.highestKnownToken());
                        peer.leadership.resignation().ifPresent(leadership::onResignation);
                    }
                }
            }

            private <T> boolean isReached(Consumer<StoreResult<T>> callback) {
                if (isCutOff) {
                    callback.accept(new StoreResult.Unavailable<>("cut off"));
                    return false;
                }
                eras.observe(era, "store");
                return true;
            }

            @Override
            public void commit(
                    List<Condition> conditions,
                    List<Write> writes,
                    List<String> removals,
                    Consumer<StoreResult<StoreRevision>> callback) {
                if (!isReached(callback)) {
                    return;
                }
                StoreLease lease = writes.get(0).lease().orElseThrow();
                StoreRevision expected = conditions.get(0).revision();
                boolean isEarlier = lease.era() < era || (expected.number() > 0 && expected.era() < era);
                if (isEarlier || expected.number() != claimRevision || !leases.containsKey(lease.number())) {
                    callback.accept(new StoreResult.Rejected<>("412"));
                    return;
                }
                claim = Optional.of(writes.get(0).value());
                claimRevision = ++revision;
                claimLease = lease.number();
                history.add(new Change(revision, claim));
                callback.accept(new StoreResult.Success<>(new StoreRevision(era, revision)));
            }

            @Override
            public void grantLease(Duration duration, Consumer<StoreResult<StoreLease>> callback) {
                if (isReached(callback)) {
                    leases.put(++lastLease, now + duration.toMillis());
                    callback.accept(new StoreResult.Success<>(new StoreLease(era, lastLease)));
                }
            }

            @Override
            public void renewLease(StoreLease lease, Consumer<StoreResult<Duration>> callback) {
                if (!isReached(callback)) {
                    return;
                }
                if (lease.era() < era || !leases.containsKey(lease.number())) {
                    callback.accept(new StoreResult.Rejected<>("404"));
                } else {
                    leases.put(lease.number(), now + HANDOVER_INTERVAL.toMillis());
                    callback.accept(new StoreResult.Success<>(HANDOVER_INTERVAL));
                }
            }

            @Override
            public void endLease(StoreLease lease) {
                if (!isCutOff && lease.era() == era) {
                    leases.remove(lease.number());
                }
            }

            @Override
            public void list(String prefix, String afterKey, Consumer<StoreResult<StorePage>> callback) {
                throw new UnsupportedOperationException();
            }

            @Override
            public void watch(
                    String prefix, StoreRevision after, Duration wait, Consumer<StoreResult<StorePage>> callback) {
                throw new UnsupportedOperationException();
            }

            @Override
            public String toString() {
                return name + new String(claim.orElse(new byte[0]), StandardCharsets.UTF_8);
            }
        }
    }

    private static void check(long seed, int vms, Consumer<Simulation> course) {
        Simulation simulation = new Simulation(seed, vms);
        simulation.run(8_000);
        course.accept(simulation);
        simulation.candidates.forEach(candidate -> candidate.isCutOff = false);
        long healedAt = simulation.now;
        simulation.run(15_000);
        simulation.checkOrders(seed);
        assertThat(simulation.ordersAfter(healedAt + 10_000))
                .as("seed %s", seed)
                .isPositive();
    }

    @Nested
    class OneDrill {

        @Test
        void should_let_the_leader_go_on_at_once_with_a_higher_token_when_the_copy_lacks_its_claim() {
            Simulation simulation = new Simulation(1, 2);
            simulation.takeCopy();
            simulation.run(8_000);
            long drillAt = simulation.now;
            simulation.comeBackFromCopy();
            simulation.run(1_000);

            simulation.checkOrders(1);
            assertThat(simulation.ordersAfter(drillAt)).isGreaterThan(50);
        }

        @Test
        void should_let_the_leader_go_on_when_the_copy_has_its_claim() {
            Simulation simulation = new Simulation(1, 2);
            simulation.run(8_000);
            simulation.takeCopy();
            simulation.run(2_000);
            long drillAt = simulation.now;
            simulation.comeBackFromCopy();
            simulation.run(5_000);

            simulation.checkOrders(1);
            assertThat(simulation.ordersAfter(drillAt)).isGreaterThan(450);
        }

        @Test
        void should_keep_a_handover_interval_after_a_leader_that_has_not_heard_of_the_drill() {
            Simulation simulation = new Simulation(1, 2);
            simulation.takeCopy();
            simulation.run(8_000);
            Simulation.Candidate leader = simulation.candidates.stream()
                    .filter(candidate -> candidate.leadership.isHolder())
                    .findFirst()
                    .orElseThrow();
            leader.isCutOff = true;
            leader.isDeaf = true;
            simulation.comeBackFromCopy();
            simulation.run(8_000);

            simulation.checkOrders(1);
            assertThat(simulation.orders.get(simulation.orders.size() - 1).vm()).isNotEqualTo(leader.name);
        }

        @Test
        void should_exceed_the_token_of_a_leader_that_is_gone_with_the_drill() {
            Simulation simulation = new Simulation(1, 3);
            simulation.takeCopy();
            simulation.run(8_000);
            simulation.candidates.stream()
                    .filter(candidate -> candidate.leadership.isHolder())
                    .forEach(candidate -> candidate.isGone = true);
            long drillAt = simulation.now;
            simulation.comeBackFromCopy();
            simulation.run(8_000);

            simulation.checkOrders(1);
            assertThat(simulation.ordersAfter(drillAt)).isPositive();
        }
    }

    @Nested
    class RandomCourses {

        private Simulation.Candidate leaderOrOther(Simulation simulation) {
            Simulation.Candidate any =
                    simulation.candidates.get(simulation.random.nextInt(simulation.candidates.size()));
            return simulation.candidates.stream()
                    .filter(candidate -> candidate.leadership.isHolder() && simulation.random.nextBoolean())
                    .findFirst()
                    .orElse(any);
        }

        private void play(Simulation simulation) {
            for (int event = 0; event < 12; event++) {
                Simulation.Candidate one = leaderOrOther(simulation);
                switch (simulation.random.nextInt(5)) {
                    case 0 -> simulation.takeCopy();
                    case 1 -> simulation.comeBackFromCopy();
                    case 2 -> one.isCutOff = true;
                    case 3 -> one.isCutOff = false;
                    default -> {
                        one.isDeaf = !one.isDeaf;
                        one.isCutOff = one.isDeaf;
                    }
                }
                simulation.run(10L * (1 + simulation.random.nextInt(300)));
            }
            simulation.candidates.forEach(candidate -> candidate.isDeaf = false);
        }

        @Test
        void should_have_one_leader_at_a_time_at_nine_vms() {
            for (long seed = 1; seed <= 200; seed++) {
                check(seed, 9, this::play);
            }
        }

        @Test
        void should_have_one_leader_at_a_time_at_95_vms() {
            for (long seed = 1; seed <= 3; seed++) {
                check(seed, 95, this::play);
            }
        }
    }
}
