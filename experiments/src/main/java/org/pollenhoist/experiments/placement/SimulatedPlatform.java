package org.pollenhoist.experiments.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.pollenhoist.platform.ListedVm;
import org.pollenhoist.platform.Listing;
import org.pollenhoist.platform.PlatformService;
import org.pollenhoist.platform.StoredValue;
import org.pollenhoist.platform.WriteOutcome;

/** The platform's service without faults, for one simulated run. It counts its calls. */
final class SimulatedPlatform implements PlatformService {

    private final TreeMap<String, StoredValue> values = new TreeMap<>();
    private long reads;
    private long writes;

    long reads() {
        return reads;
    }

    long writes() {
        return writes;
    }

    @Override
    public Optional<StoredValue> read(String key) {
        reads++;
        return Optional.ofNullable(values.get(key));
    }

    @Override
    public Listing list(String prefix) {
        reads++;
        List<StoredValue> found = new ArrayList<>();
        values.tailMap(prefix).forEach((key, value) -> {
            if (key.startsWith(prefix)) {
                found.add(value);
            }
        });
        return new Listing(writes, found);
    }

    @Override
    public WriteOutcome compareAndSwap(String key, long expectedVersion, byte[] content, Optional<String> lease) {
        writes++;
        long actual =
                Optional.ofNullable(values.get(key)).map(StoredValue::version).orElse(0L);
        if (actual != expectedVersion) {
            return new WriteOutcome.Conflict(actual);
        }
        values.put(key, new StoredValue(key, actual + 1, content));
        return new WriteOutcome.Written(actual + 1);
    }

    @Override
    public WriteOutcome remove(String key, long expectedVersion) {
        writes++;
        values.remove(key);
        return new WriteOutcome.Written(0);
    }

    @Override
    public Optional<Listing> watch(String prefix, long afterRevision, Duration wait) {
        return Optional.empty();
    }

    @Override
    public String grantLease(Duration duration) {
        writes++;
        return "lease-" + writes;
    }

    @Override
    public boolean renewLease(String leaseIdentifier) {
        writes++;
        return true;
    }

    @Override
    public void revokeLease(String leaseIdentifier) {
        writes++;
    }

    @Override
    public List<ListedVm> listVms() {
        return List.of();
    }
}
