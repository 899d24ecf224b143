package org.pollenhoist.operator;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.pollenhoist.platform.ConfigurationStore;
import org.pollenhoist.platform.ListedVm;
import org.pollenhoist.platform.Listing;
import org.pollenhoist.platform.PlatformService;
import org.pollenhoist.platform.StoredValue;
import org.pollenhoist.platform.WriteOutcome;

/** Lets something happen once, just before the first write of the head. */
final class InterposingPlatform implements PlatformService {

    private final PlatformService inner;
    private final Runnable event;
    private boolean hasHappened;

    InterposingPlatform(PlatformService inner, Runnable event) {
        this.inner = inner;
        this.event = event;
    }

    @Override
    public WriteOutcome compareAndSwap(
            String key, long expectedVersion, byte[] content, Optional<String> leaseIdentifier) {
        if (key.equals(ConfigurationStore.HEAD_KEY) && !hasHappened) {
            hasHappened = true;
            event.run();
        }
        return inner.compareAndSwap(key, expectedVersion, content, leaseIdentifier);
    }

    @Override
    public Optional<StoredValue> read(String key) {
        return inner.read(key);
    }

    @Override
    public Listing list(String prefix) {
        return inner.list(prefix);
    }

    @Override
    public WriteOutcome remove(String key, long expectedVersion) {
        return inner.remove(key, expectedVersion);
    }

    @Override
    public Optional<Listing> watch(String prefix, long afterRevision, Duration wait) {
        return inner.watch(prefix, afterRevision, wait);
    }

    @Override
    public String grantLease(Duration duration) {
        return inner.grantLease(duration);
    }

    @Override
    public boolean renewLease(String leaseIdentifier) {
        return inner.renewLease(leaseIdentifier);
    }

    @Override
    public void revokeLease(String leaseIdentifier) {
        inner.revokeLease(leaseIdentifier);
    }

    @Override
    public List<ListedVm> listVms() {
        return inner.listVms();
    }
}
