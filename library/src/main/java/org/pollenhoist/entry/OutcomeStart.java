package org.pollenhoist.entry;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.platform.PlatformService;
import org.pollenhoist.platform.StoredValue;
import org.pollenhoist.platform.WriteOutcome;
import org.pollenhoist.request.OutcomeRegistry;
import org.pollenhoist.vm.Peer;

/**
 * Finds out by two markers in the platform's service whether a process of this VM's name, or any of the failure domain,
 * ever ran before: two writes for each new name, none for a request.
 */
final class OutcomeStart implements AutoCloseable {

    private static final DecisionLog LOG = DecisionLog.of("request");

    private static final String PREFIX = "idempotency/";

    private static final long RETRY_MILLISECONDS = 1_000;

    private final Peer self;

    private final PlatformService platform;

    private final OutcomeRegistry registry;

    private final ScheduledExecutorService ticker = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().daemon().name("outcome-start").factory());

    private OutcomeStart(Peer self, PlatformService platform, OutcomeRegistry registry) {
        this.self = self;
        this.platform = platform;
        this.registry = registry;
    }

    static OutcomeStart begin(Peer self, PlatformService platform, OutcomeRegistry registry) {
        OutcomeStart start = new OutcomeStart(self, platform, registry);
        start.ticker.execute(start::mark);
        return start;
    }

    private void mark() {
        try {
            boolean isFirst = isFirst("vm/" + self.vm());
            boolean isFirstOfAll = isFirst("domain/" + self.failureDomain());
            registry.started(isFirst, isFirstOfAll);
            LOG.event("registrar_started", "vm", self.vm(), "first", isFirst, "first_of_domain", isFirstOfAll);
        } catch (PollenhoistException unavailable) {
            LOG.event("registrar_start_missed", "reason", unavailable.getMessage());
            ticker.schedule(this::mark, RETRY_MILLISECONDS, TimeUnit.MILLISECONDS);
        }
    }

    /** The marker names its writer, so that a write whose answer was lost is recognised. */
    private boolean isFirst(String name) {
        byte[] content = (self.vm() + " " + self.incarnation()).getBytes(StandardCharsets.UTF_8);
        WriteOutcome outcome = platform.compareAndSwap(PREFIX + name, 0, content, Optional.empty());
        if (outcome instanceof WriteOutcome.Conflict || outcome instanceof WriteOutcome.Unknown) {
            return platform.read(PREFIX + name)
                    .map(StoredValue::content)
                    .filter(stored -> Arrays.equals(stored, content))
                    .isPresent();
        }
        return true;
    }

    @Override
    public void close() {
        ticker.shutdownNow();
    }
}
