package org.pollenhoist.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.platform.ListedVm;
import org.pollenhoist.platform.Listing;
import org.pollenhoist.platform.PlatformService;
import org.pollenhoist.platform.StoredValue;
import org.pollenhoist.platform.WriteOutcome;

/** The platform's service in one process, with outages, lost answers and leases on simulated time. */
class FakePlatform implements PlatformService {

    @SuppressWarnings("ArrayRecordComponent")
    private record Stored(long version, byte[] content, Optional<String> lease) {}

    private final Map<String, Stored> values = new TreeMap<>();
    private final Map<String, Long> leaseEnds = new HashMap<>();
    private final Map<String, Long> leaseMillis = new HashMap<>();
    private final Random random;
    private long nowMillis;
    private long leases;
    boolean isDown;
    double lostAnswers;

    FakePlatform(Random random) {
        this.random = random;
    }

    void advanceTo(long millis) {
        nowMillis = millis;
        values.values()
                .removeIf(stored -> stored.lease().isPresent()
                        && leaseEnds.getOrDefault(stored.lease().get(), 0L) <= millis);
    }

    private void requireUp(double loss) {
        if (isDown || random.nextDouble() < loss) {
            throw new PollenhoistException(ErrorCode.PLATFORM_UNAVAILABLE, "platform did not answer");
        }
    }

    @Override
    public Optional<StoredValue> read(String key) {
        requireUp(lostAnswers);
        return Optional.ofNullable(values.get(key))
                .map(stored -> new StoredValue(key, stored.version(), stored.content()));
    }

    @Override
    public Listing list(String prefix) {
        requireUp(lostAnswers);
        List<StoredValue> found = new ArrayList<>();
        values.forEach((key, stored) -> {
            if (key.startsWith(prefix)) {
                found.add(new StoredValue(key, stored.version(), stored.content()));
            }
        });
        return new Listing(0, found);
    }

    @Override
    public WriteOutcome compareAndSwap(String key, long expectedVersion, byte[] content, Optional<String> lease) {
        if (isDown || random.nextDouble() < lostAnswers) {
            return new WriteOutcome.Unknown("request lost");
        }
        long actual = Optional.ofNullable(values.get(key)).map(Stored::version).orElse(0L);
        if (!isAccepted(expectedVersion, actual)) {
            return new WriteOutcome.Conflict(actual);
        }
        values.put(key, new Stored(actual + 1, content, lease));
        return random.nextDouble() < lostAnswers
                ? new WriteOutcome.Unknown("answer lost")
                : new WriteOutcome.Written(actual + 1);
    }

    boolean isAccepted(long expectedVersion, long actual) {
        return expectedVersion == actual;
    }

    @Override
    public WriteOutcome remove(String key, long expectedVersion) {
        throw new UnsupportedOperationException("not used here");
    }

    @Override
    public Optional<Listing> watch(String prefix, long afterRevision, Duration wait) {
        throw new UnsupportedOperationException("not used here");
    }

    @Override
    public String grantLease(Duration duration) {
        requireUp(lostAnswers);
        leases++;
        String lease = "lease-" + leases;
        leaseMillis.put(lease, duration.toMillis());
        leaseEnds.put(lease, nowMillis + duration.toMillis());
        return lease;
    }

    @Override
    public boolean renewLease(String lease) {
        requireUp(lostAnswers);
        if (leaseEnds.getOrDefault(lease, 0L) <= nowMillis) {
            return false;
        }
        leaseEnds.put(lease, nowMillis + leaseMillis.get(lease));
        return true;
    }

    @Override
    public void revokeLease(String lease) {
        leaseEnds.remove(lease);
        advanceTo(nowMillis);
    }

    @Override
    public List<ListedVm> listVms() {
        return List.of();
    }
}
