package org.pollenhoist.experiments.limit;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.experiments.simulation.EventQueue;
import org.pollenhoist.platform.ListedVm;
import org.pollenhoist.platform.Listing;
import org.pollenhoist.platform.PlatformService;
import org.pollenhoist.platform.StoredValue;
import org.pollenhoist.platform.WriteOutcome;

/** A key-value service in memory, over the simulated time, that has outages, loses answers and answers from before. */
final class SimulatedPlatform {

    private final EventQueue queue;
    private final Random random;
    private final FaultPlan faults;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final Map<String, Integer> versions = new HashMap<>();
    private final Map<String, Lease> leases = new HashMap<>();
    private Listing earlier = new Listing(0, List.of());
    private boolean isDown;
    private long calls;
    private long nextLease = 1;

    SimulatedPlatform(EventQueue queue, Random random, FaultPlan faults) {
        this.queue = queue;
        this.random = random;
        this.faults = faults;
    }

    @SuppressWarnings("ArrayRecordComponent")
    private record Entry(long version, byte[] content, Optional<String> lease) {}

    private record Lease(long duration, long endsAt) {}

    void setDown(boolean down) {
        isDown = down;
    }

    long calls() {
        return calls;
    }

    /** Returns the service as a VM sees it that may be cut off. */
    PlatformService seenBy(BooleanSupplier isCutOff) {
        return new View(isCutOff);
    }

    private void dropEnded() {
        leases.values().removeIf(lease -> lease.endsAt() <= queue.now());
        entries.values()
                .removeIf(entry -> entry.lease().isPresent()
                        && !leases.containsKey(entry.lease().get()));
    }

    private final class View implements PlatformService {

        private final BooleanSupplier isCutOff;

        View(BooleanSupplier isCutOff) {
            this.isCutOff = isCutOff;
        }

        private void call() {
            calls++;
            if (isDown || isCutOff.getAsBoolean()) {
                throw new PollenhoistException(ErrorCode.PLATFORM_UNAVAILABLE, "no answer within 1 s");
            }
            dropEnded();
        }

        @Override
        public Optional<StoredValue> read(String key) {
            return list(key).values().stream()
                    .filter(value -> value.key().equals(key))
                    .findFirst();
        }

        @Override
        public Listing list(String prefix) {
            call();
            boolean isStale = random.nextDouble() < faults.staleReads();
            Listing answer = isStale ? below(earlier, prefix) : below(everything(), prefix);
            if (random.nextInt(10) == 0) {
                earlier = everything();
            }
            return answer;
        }

        private Listing everything() {
            return new Listing(
                    0,
                    entries.entrySet().stream()
                            .map(entry -> new StoredValue(
                                    entry.getKey(),
                                    entry.getValue().version(),
                                    entry.getValue().content()))
                            .toList());
        }

        private static Listing below(Listing all, String prefix) {
            return new Listing(
                    0,
                    all.values().stream()
                            .filter(value -> value.key().startsWith(prefix))
                            .toList());
        }

        @Override
        public WriteOutcome compareAndSwap(
                String key, long expectedVersion, byte[] content, Optional<String> leaseIdentifier) {
            call();
            long actual = entries.containsKey(key) ? entries.get(key).version() : 0;
            if (random.nextDouble() < faults.lostAnswers() / 2) {
                return new WriteOutcome.Unknown("lost before the write");
            }
            if (actual != expectedVersion) {
                return new WriteOutcome.Conflict(actual);
            }
            if (leaseIdentifier.isPresent() && !leases.containsKey(leaseIdentifier.get())) {
                return new WriteOutcome.Unknown("the lease has ended");
            }
            long version = versions.merge(key, 1, Integer::sum);
            entries.put(key, new Entry(version, content, leaseIdentifier));
            if (random.nextDouble() < faults.lostAnswers() / 2) {
                return new WriteOutcome.Unknown("lost after the write");
            }
            return new WriteOutcome.Written(version);
        }

        @Override
        public WriteOutcome remove(String key, long expectedVersion) {
            call();
            Entry entry = entries.get(key);
            if (entry == null || entry.version() != expectedVersion) {
                return new WriteOutcome.Conflict(entry == null ? 0 : entry.version());
            }
            entries.remove(key);
            return new WriteOutcome.Written(0);
        }

        @Override
        public Optional<Listing> watch(String prefix, long afterRevision, Duration wait) {
            throw new UnsupportedOperationException("not used by limits");
        }

        @Override
        public String grantLease(Duration duration) {
            call();
            String identifier = "lease-" + nextLease++;
            leases.put(identifier, new Lease(duration.toNanos(), queue.now() + duration.toNanos()));
            return identifier;
        }

        @Override
        public boolean renewLease(String leaseIdentifier) {
            call();
            Lease lease = leases.get(leaseIdentifier);
            if (lease == null) {
                return false;
            }
            leases.put(leaseIdentifier, new Lease(lease.duration(), queue.now() + lease.duration()));
            return true;
        }

        @Override
        public void revokeLease(String leaseIdentifier) {
            call();
            leases.remove(leaseIdentifier);
        }

        @Override
        public List<ListedVm> listVms() {
            return List.of();
        }
    }
}
