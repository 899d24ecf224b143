package org.pollenhoist.operator;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.pollenhoist.platform.ListedVm;
import org.pollenhoist.platform.Listing;
import org.pollenhoist.platform.PlatformService;
import org.pollenhoist.platform.StoredValue;
import org.pollenhoist.platform.WriteOutcome;

/** Hands every call on, so that a test changes only what it is about. */
class ForwardingPlatform implements PlatformService {

    private final PlatformService inner;

    ForwardingPlatform(PlatformService inner) {
        this.inner = inner;
    }

    @Override
    public WriteOutcome compareAndSwap(
            String key, long expectedVersion, byte[] content, Optional<String> leaseIdentifier) {
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
