package org.pollenhoist.operator;

import java.util.Optional;
import org.pollenhoist.platform.ConfigurationStore;
import org.pollenhoist.platform.PlatformService;
import org.pollenhoist.platform.WriteOutcome;

/** Lets something happen once, just before the first write of the head. */
final class InterposingPlatform extends ForwardingPlatform {

    private final Runnable event;
    private boolean hasHappened;

    InterposingPlatform(PlatformService inner, Runnable event) {
        super(inner);
        this.event = event;
    }

    @Override
    public WriteOutcome compareAndSwap(
            String key, long expectedVersion, byte[] content, Optional<String> leaseIdentifier) {
        if (key.equals(ConfigurationStore.HEAD_KEY) && !hasHappened) {
            hasHappened = true;
            event.run();
        }
        return super.compareAndSwap(key, expectedVersion, content, leaseIdentifier);
    }
}
