package org.pollenhoist.entry;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.platform.ListedVm;
import org.pollenhoist.platform.PlatformService;
import org.pollenhoist.routing.UpstreamTable;

/** Reads the platform's list of VMs again and again, so that leaving upstreams get no new work. */
final class LeavingWatch implements AutoCloseable {

    /** With the list's own lag this keeps new work from a leaving upstream after a few seconds. */
    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private static final DecisionLog LOG = DecisionLog.of("platform");

    private final PlatformService platform;

    private final UpstreamTable upstreams;

    private final ScheduledExecutorService ticker;

    private LeavingWatch(PlatformService platform, UpstreamTable upstreams) {
        this.platform = platform;
        this.upstreams = upstreams;
        this.ticker = Executors.newSingleThreadScheduledExecutor(
                Thread.ofPlatform().daemon().name("leaving-watch").factory());
    }

    static LeavingWatch start(PlatformService platform, UpstreamTable upstreams) {
        LeavingWatch watch = new LeavingWatch(platform, upstreams);
        watch.ticker.scheduleWithFixedDelay(watch::read, 0, INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        return watch;
    }

    private void read() {
        try {
            Set<UpstreamName> leaving = platform.listVms().stream()
                    .filter(ListedVm::isLeaving)
                    .map(vm -> UpstreamName.of(vm.name()))
                    .collect(Collectors.toUnmodifiableSet());
            upstreams.installLeavingList(leaving);
        } catch (PollenhoistException unavailable) {
            LOG.event("vm_list_missed", "reason", unavailable.getMessage());
        }
    }

    @Override
    public void close() {
        ticker.shutdownNow();
    }
}
