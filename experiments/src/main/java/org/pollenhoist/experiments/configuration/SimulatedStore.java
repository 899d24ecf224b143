package org.pollenhoist.experiments.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.pollenhoist.platform.ListedVm;
import org.pollenhoist.platform.Listing;
import org.pollenhoist.platform.PlatformService;
import org.pollenhoist.platform.PlatformUnavailableException;
import org.pollenhoist.platform.StoredValue;
import org.pollenhoist.platform.WriteOutcome;

/** The platform's key-value service in memory, seen from one simulated thread. It keeps its past to answer from it. */
final class SimulatedStore {

    private final List<Map<String, StoredValue>> states = new ArrayList<>(List.of(Map.of()));

    private final Map<String, Integer> latestChanges = new HashMap<>();

    int revision() {
        return states.size() - 1;
    }

    /** The revision of the latest change of a key. */
    int latestChangeOf(String key) {
        return latestChanges.getOrDefault(key, 0);
    }

    private Map<String, StoredValue> state(int revision) {
        return states.get(revision);
    }

    private long versionOf(String key) {
        return versionOf(key, revision());
    }

    private long versionOf(String key, int revision) {
        StoredValue stored = state(revision).get(key);
        return stored == null ? 0 : stored.version();
    }

    private void put(String key, StoredValue value) {
        Map<String, StoredValue> next = new TreeMap<>(state(revision()));
        if (value == null) {
            next.remove(key);
        } else {
            next.put(key, value);
        }
        states.add(next);
        latestChanges.put(key, revision());
    }

    /** Returns a client that always gets an answer. */
    Client client() {
        return new Client(new Random(0), 0, false);
    }

    /** Returns a client of which a part of the reads, and perhaps of the refusals too, is answered from before. */
    Client client(Random random, double staleReads, boolean areRefusalsStale) {
        return new Client(random, staleReads, areRefusalsStale);
    }

    /** One client of the store, with its own connection and counts. */
    final class Client implements PlatformService {

        private static final int MAXIMUM_STALENESS = 6;

        private final Random random;
        private final double staleReads;
        private final boolean areRefusalsStale;
        private boolean isCut;
        private long calls;
        private long bytes;

        private Client(Random random, double staleReads, boolean areRefusalsStale) {
            this.random = random;
            this.staleReads = staleReads;
            this.areRefusalsStale = areRefusalsStale;
        }

        void setCut(boolean cut) {
            isCut = cut;
        }

        boolean isCut() {
            return isCut;
        }

        long calls() {
            return calls;
        }

        long bytes() {
            return bytes;
        }

        /** Counts a call that is answered at once or, as a watch, later. */
        void countCall() {
            calls++;
        }

        private void requireAnswer(String call) {
            countCall();
            if (isCut) {
                throw PlatformUnavailableException.noAnswer(call, "cut off");
            }
        }

        private int answeringRevision() {
            boolean isStale = random.nextDouble() < staleReads;
            return isStale ? Math.max(0, revision() - random.nextInt(MAXIMUM_STALENESS)) : revision();
        }

        @Override
        public Optional<StoredValue> read(String key) {
            requireAnswer("read");
            Optional<StoredValue> found =
                    Optional.ofNullable(state(answeringRevision()).get(key));
            found.ifPresent(value -> bytes += value.content().length);
            return found;
        }

        @Override
        public Listing list(String prefix) {
            requireAnswer("list");
            return listing(prefix, answeringRevision());
        }

        private Listing listing(String prefix, int revision) {
            List<StoredValue> values = state(revision).values().stream()
                    .filter(value -> value.key().startsWith(prefix))
                    .toList();
            values.forEach(value -> bytes += value.content().length);
            return new Listing(revision, values);
        }

        /** Answers a watch that waited; the call was counted when it began. */
        Listing watched(String prefix) {
            return listing(prefix, revision());
        }

        @Override
        public WriteOutcome compareAndSwap(
                String key, long expectedVersion, byte[] content, Optional<String> leaseIdentifier) {
            requireAnswer("write");
            if (versionOf(key) != expectedVersion) {
                return new WriteOutcome.Conflict(versionOf(key));
            }
            put(key, new StoredValue(key, expectedVersion + 1, content));
            return new WriteOutcome.Written(expectedVersion + 1);
        }

        @Override
        public WriteOutcome remove(String key, long expectedVersion) {
            requireAnswer("remove");
            if (versionOf(key) != expectedVersion) {
                return new WriteOutcome.Conflict(
                        areRefusalsStale ? versionOf(key, answeringRevision()) : versionOf(key));
            }
            put(key, null);
            return new WriteOutcome.Written(0);
        }

        @Override
        public Optional<Listing> watch(String prefix, long afterRevision, Duration wait) {
            throw new UnsupportedOperationException("the simulation waits by itself");
        }

        @Override
        public String grantLease(Duration duration) {
            throw new UnsupportedOperationException("configurations need no leases");
        }

        @Override
        public boolean renewLease(String leaseIdentifier) {
            throw new UnsupportedOperationException("configurations need no leases");
        }

        @Override
        public void revokeLease(String leaseIdentifier) {
            throw new UnsupportedOperationException("configurations need no leases");
        }

        @Override
        public List<ListedVm> listVms() {
            return List.of();
        }
    }
}
