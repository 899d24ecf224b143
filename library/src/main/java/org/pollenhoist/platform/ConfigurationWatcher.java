package org.pollenhoist.platform;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.common.VmName;
import org.pollenhoist.configuration.ConfigurationHead;
import org.pollenhoist.configuration.ConfigurationPeer;
import org.pollenhoist.configuration.ConfigurationSpread;
import org.pollenhoist.configuration.ConfigurationTable;
import org.pollenhoist.configuration.InstalledConfiguration;
import org.pollenhoist.configuration.PeerFrame;
import org.pollenhoist.vm.generated.Frame;

/**
 * Keeps a VM's configuration fresh: by one waiting watch on the head record where {@link ConfigurationSpread} says so,
 * and by messages of peers.
 *
 * <p>Example: {@code ConfigurationWatcher.start(self, 2, table, platform, messenger)}; then hand over every frame by
 * {@link #onFrame} and every change of connections by {@link #peersChanged}.
 */
public final class ConfigurationWatcher implements AutoCloseable {

    /** How long a watch waits. It bounds how old the knowledge that the platform answers may be. */
    static final Duration WATCH_WAIT = Duration.ofSeconds(2);

    private static final Duration LEAST_BACKOFF = Duration.ofMillis(100);
    private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(2);
    private static final Duration IDLE_PAUSE = Duration.ofMillis(250);
    private static final DecisionLog LOG = DecisionLog.of("configuration");

    private final PlatformService platform;
    private final ConfigurationStore store;
    private final ConfigurationTable table;
    private final ConfigurationSpread spread;
    private final PeerMessenger messenger;
    private final ScheduledExecutorService ticker;
    private final Thread watchThread;
    private volatile boolean isStopping;
    private boolean isConfirmed;
    private long storeRevision;
    private int failures;

    private ConfigurationWatcher(
            ConfigurationSpread spread, ConfigurationTable table, PlatformService platform, PeerMessenger messenger) {
        this.spread = spread;
        this.table = table;
        this.platform = platform;
        this.store = ConfigurationStore.over(platform);
        this.messenger = messenger;
        this.ticker = Executors.newSingleThreadScheduledExecutor(
                Thread.ofPlatform().daemon().name("configuration-ticker").factory());
        this.watchThread =
                Thread.ofPlatform().daemon().name("configuration-watcher").unstarted(this::watchUntilStopped);
    }

    /**
     * Starts to keep a table fresh.
     *
     * @param self the VM
     * @param watchersPerDomain how many VMs of each failure domain watch the platform
     * @param table the table
     * @param platform the platform's service
     * @param messenger the way to peers
     * @return the watcher, to be closed by the caller
     */
    public static ConfigurationWatcher start(
            ConfigurationPeer self,
            int watchersPerDomain,
            ConfigurationTable table,
            PlatformService platform,
            PeerMessenger messenger) {
        ConfigurationSpread spread = new ConfigurationSpread(self, watchersPerDomain, table);
        ConfigurationWatcher watcher = new ConfigurationWatcher(spread, table, platform, messenger);
        watcher.watchThread.start();
        long interval = ConfigurationSpread.TICK_INTERVAL.toMillis();
        watcher.ticker.scheduleWithFixedDelay(watcher::tick, interval, interval, TimeUnit.MILLISECONDS);
        return watcher;
    }

    /**
     * Hands over a message of a peer. Does not block on the platform.
     *
     * @param from the sender
     * @param frame the message; other subjects' messages are ignored
     */
    public void onFrame(VmName from, Frame frame) {
        send(spread.onFrame(from, frame, MonotonicTime.read()));
    }

    /**
     * Replaces the peers to which connections are open.
     *
     * @param connected the peers
     */
    public void peersChanged(Collection<ConfigurationPeer> connected) {
        send(spread.peersChanged(connected, MonotonicTime.read()));
    }

    /**
     * Tells whether this VM has a configuration that it may serve.
     *
     * @return true where it may serve
     */
    public boolean isReady() {
        return spread.isReady(MonotonicTime.read());
    }

    /**
     * Returns how long ago the platform answered this VM, or one of which it has word, to compare with a profile's key
     * freshness.
     *
     * @param now the present time
     * @return the duration, or empty where there never was an answer
     */
    public Optional<Duration> platformAge(MonotonicTime now) {
        return spread.platformAge(now);
    }

    @Override
    public void close() {
        isStopping = true;
        ticker.shutdownNow();
        watchThread.interrupt();
    }

    private void tick() {
        try {
            send(spread.tick(MonotonicTime.read()));
        } catch (RuntimeException exception) {
            LOG.event("tick_failed", "reason", exception);
        }
    }

    private void send(List<PeerFrame> frames) {
        frames.forEach(frame -> messenger.send(frame.to(), frame.frame()));
    }

    private void watchUntilStopped() {
        while (!isStopping) {
            try {
                if (spread.shouldWatch(MonotonicTime.read())) {
                    watchOnce();
                } else {
                    storeRevision = 0;
                    pause(IDLE_PAUSE);
                }
                failures = 0;
            } catch (PollenhoistException exception) {
                failures++;
                LOG.event("platform_call_failed", "failures", failures, "reason", exception.getMessage());
                pause(backoff(failures));
            }
        }
    }

    private void watchOnce() {
        if (!isConfirmed) {
            spread.onConfirmedRevision(store.confirmedRevision(), MonotonicTime.read());
            isConfirmed = true;
        }
        Optional<Listing> listing = storeRevision == 0
                ? Optional.of(platform.list(ConfigurationStore.HEAD_KEY))
                : platform.watch(ConfigurationStore.HEAD_KEY, storeRevision, WATCH_WAIT);
        spread.onPlatformAnswer(MonotonicTime.read());
        if (listing.isEmpty()) {
            // A platform that answered from before may have nothing more to tell about that past.
            storeRevision = spread.isReady(MonotonicTime.read()) ? storeRevision : 0;
            return;
        }
        Optional<InstalledConfiguration> found = newer(listing.get());
        found.ifPresent(revision -> send(spread.onPlatformRevision(revision, MonotonicTime.read())));
        storeRevision = listing.get().revision();
    }

    /** A head whose parts are gone was overtaken: the next call of the platform shows a later one. */
    private Optional<InstalledConfiguration> newer(Listing listing) {
        for (StoredValue value : listing.values()) {
            ConfigurationHead head = ConfigurationHead.decode(value.content());
            if (value.key().equals(ConfigurationStore.HEAD_KEY) && head.revision() > table.revision()) {
                return store.fetch(head).or(store::fetchLatest);
            }
        }
        return Optional.empty();
    }

    private static Duration backoff(int failures) {
        long bound = LEAST_BACKOFF.toMillis() << Math.min(failures, 10);
        long most = Math.min(bound, MAXIMUM_BACKOFF.toMillis());
        return Duration.ofMillis(ThreadLocalRandom.current().nextLong(most / 2, most + 1));
    }

    private void pause(Duration duration) {
        try {
            Thread.sleep(duration.toMillis());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            isStopping = true;
        }
    }
}
