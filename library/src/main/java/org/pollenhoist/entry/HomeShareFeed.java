package org.pollenhoist.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.limit.DomainDivision;
import org.pollenhoist.limit.HomeLeaseSettings;
import org.pollenhoist.limit.HomeShareKeeper;
import org.pollenhoist.limit.ShareTable;
import org.pollenhoist.platform.PlatformService;
import org.pollenhoist.settings.EntrySettings;
import org.pollenhoist.vm.Peer;

/** Keeps the home share on a thread of its own, since the platform's calls block. */
final class HomeShareFeed implements AutoCloseable {

    private static final DecisionLog LOG = DecisionLog.of("limit");

    private static final Duration FIRST_RETRY = Duration.ofSeconds(1);

    private static final Duration WAIT_FOR_CONFIGURATION = Duration.ofMillis(100);

    private final Peer self;

    private final String address;

    private final PlatformService platform;

    private final ShareTable table;

    private final Supplier<Set<FailureDomain>> failureDomains;

    private final ScheduledExecutorService worker =
            Executors.newSingleThreadScheduledExecutor(task -> ShareGate.daemon(task, "home-share"));

    private volatile boolean hasAsked;

    /** Used by the worker only. */
    private HomeShareKeeper keeper;

    private HomeShareFeed(
            Peer self,
            String address,
            PlatformService platform,
            ShareTable table,
            Supplier<Set<FailureDomain>> failureDomains) {
        this.self = self;
        this.address = address;
        this.platform = platform;
        this.table = table;
        this.failureDomains = failureDomains;
    }

    static HomeShareFeed start(
            Peer self,
            EntrySettings settings,
            PlatformService platform,
            ShareTable table,
            Supplier<Set<FailureDomain>> failureDomains) {
        HomeShareFeed feed = new HomeShareFeed(self, provingAddress(self, settings), platform, table, failureDomains);
        feed.worker.execute(feed::step);
        return feed;
    }

    /** A wildcard address proves nothing about a predecessor, so it is made unlike any other. */
    private static String provingAddress(Peer self, EntrySettings settings) {
        InetSocketAddress listening = new InetSocketAddress(
                settings.peers().address(), settings.peers().port());
        String text = listening.getAddress().getHostAddress() + ":" + listening.getPort();
        return listening.getAddress().isAnyLocalAddress() ? text + "#" + self.incarnation() : text;
    }

    private void step() {
        if (failureDomains.get().isEmpty()) {
            worker.schedule(this::step, WAIT_FOR_CONFIGURATION.toMillis(), TimeUnit.MILLISECONDS);
            return;
        }
        Duration wait = FIRST_RETRY;
        try {
            if (keeper == null) {
                keeper = create();
            }
            wait = keeper.step();
        } catch (PollenhoistException failure) {
            LOG.event(
                    "home_share",
                    "outcome",
                    "not_begun",
                    "reason",
                    failure.code().text());
        } finally {
            hasAsked = true;
            worker.schedule(this::step, wait.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Tells whether the platform was asked for a share, with whatever outcome: a VM that took work before would refuse
     * teams that are inside their limits; one that starts in an outage lives on loans.
     */
    boolean hasAsked() {
        return hasAsked;
    }

    private HomeShareKeeper create() {
        long parts = DomainDivision.partsOf(platform, self.failureDomain(), failureDomains.get());
        HomeShareKeeper.Place place =
                new HomeShareKeeper.Place(self.failureDomain(), parts, self.vm(), self.incarnation(), address);
        return new HomeShareKeeper(platform, table, HomeLeaseSettings.defaults(), place, MonotonicTime::read);
    }

    /** Gives the home share up, for a planned stop. */
    @Override
    public void close() {
        worker.execute(() -> {
            if (keeper != null) {
                keeper.leave();
            }
            worker.shutdownNow();
        });
        try {
            worker.awaitTermination(FIRST_RETRY.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
