package org.pollenhoist.experiments.configuration;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.configuration.ConfigurationHead;
import org.pollenhoist.configuration.ConfigurationPeer;
import org.pollenhoist.configuration.ConfigurationSpread;
import org.pollenhoist.configuration.ConfigurationTable;
import org.pollenhoist.configuration.PeerFrame;
import org.pollenhoist.platform.ConfigurationStore;
import org.pollenhoist.platform.Listing;
import org.pollenhoist.platform.StoredValue;
import org.pollenhoist.vm.generated.Frame;

/** One VM: the product's decisions, with simulated waiting in place of the watcher's thread. */
final class SimulatedVm {

    private static final long WATCH_MILLISECONDS = 2_000;
    private static final long RETRY_MILLISECONDS = 1_000;
    private static final long TICK_MILLISECONDS = ConfigurationSpread.TICK_INTERVAL.toMillis();
    private static final long IDLE_MILLISECONDS = 250;

    private final ConfigurationPeer self;
    private final SimulatedStore store;
    private final SimulatedStore.Client client;
    private final ConfigurationStore reader;
    private final ConfigurationTable table = new ConfigurationTable();
    private final ConfigurationSpread spread;
    private final Random random;
    private long nextTick;
    private long nextCall;
    private long watchEnd;
    private int watchedRevision = -1;
    private boolean isConfirmed;
    private long revisionAtConfirmation;

    SimulatedVm(
            ConfigurationPeer self,
            int watchersPerDomain,
            SimulatedStore store,
            SimulatedStore.Client client,
            Random random,
            long now) {
        this.self = self;
        this.store = store;
        this.client = client;
        this.reader = ConfigurationStore.over(client);
        this.spread = new ConfigurationSpread(self, watchersPerDomain, table);
        this.random = random;
        this.nextTick = now + random.nextLong(TICK_MILLISECONDS);
        this.nextCall = now;
    }

    ConfigurationPeer self() {
        return self;
    }

    SimulatedStore.Client client() {
        return client;
    }

    long revision() {
        return table.revision();
    }

    boolean isReady(MonotonicTime now) {
        return spread.isReady(now);
    }

    /** The revision that the platform confirmed when this VM started, empty where it did not answer. */
    Optional<Long> revisionAtConfirmation() {
        return isConfirmed ? Optional.of(revisionAtConfirmation) : Optional.empty();
    }

    boolean isWatching() {
        return watchedRevision >= 0;
    }

    ConfigurationSpread spread() {
        return spread;
    }

    List<PeerFrame> receive(ConfigurationPeer from, Frame frame, MonotonicTime now) {
        return spread.onFrame(from.name(), frame, now);
    }

    /** Does what is due; returns the messages to send. */
    List<PeerFrame> step(long milliseconds, MonotonicTime now) {
        if (milliseconds >= nextTick) {
            nextTick += TICK_MILLISECONDS;
            return spread.tick(now);
        }
        return platformStep(milliseconds, now);
    }

    private List<PeerFrame> platformStep(long milliseconds, MonotonicTime now) {
        if (isWatching()) {
            return watchStep(milliseconds, now);
        }
        if (milliseconds < nextCall) {
            return List.of();
        }
        if (!spread.shouldWatch(now)) {
            nextCall = milliseconds + IDLE_MILLISECONDS;
            return List.of();
        }
        try {
            return call(milliseconds, now);
        } catch (PollenhoistException exception) {
            nextCall = milliseconds + RETRY_MILLISECONDS + random.nextLong(RETRY_MILLISECONDS);
            return List.of();
        }
    }

    private List<PeerFrame> call(long milliseconds, MonotonicTime now) {
        if (!isConfirmed) {
            revisionAtConfirmation = reader.confirmedRevision();
            isConfirmed = true;
            spread.onConfirmedRevision(revisionAtConfirmation, now);
        }
        Listing listing = client.list(ConfigurationStore.HEAD_KEY);
        spread.onPlatformAnswer(now);
        startWatch(milliseconds, (int) listing.revision());
        return install(listing, now);
    }

    private void startWatch(long milliseconds, int revision) {
        client.countCall();
        watchedRevision = revision;
        watchEnd = milliseconds + WATCH_MILLISECONDS;
    }

    private List<PeerFrame> watchStep(long milliseconds, MonotonicTime now) {
        if (client.isCut()) {
            if (milliseconds >= watchEnd) {
                watchedRevision = -1;
                nextCall = milliseconds + RETRY_MILLISECONDS + random.nextLong(RETRY_MILLISECONDS);
            }
            return List.of();
        }
        if (store.latestChangeOf(ConfigurationStore.HEAD_KEY) > watchedRevision) {
            spread.onPlatformAnswer(now);
            Listing listing = client.watched(ConfigurationStore.HEAD_KEY);
            startWatch(milliseconds, store.revision());
            return install(listing, now);
        }
        if (milliseconds >= watchEnd) {
            spread.onPlatformAnswer(now);
            watchedRevision = -1;
            if (spread.shouldWatch(now) && spread.isReady(now)) {
                startWatch(milliseconds, store.revision());
            }
        }
        return List.of();
    }

    private List<PeerFrame> install(Listing listing, MonotonicTime now) {
        for (StoredValue value : listing.values()) {
            ConfigurationHead head = ConfigurationHead.decode(value.content());
            if (head.revision() > table.revision()) {
                try {
                    return reader.fetch(head)
                            .or(reader::fetchLatest)
                            .map(found -> spread.onPlatformRevision(found, now))
                            .orElse(List.of());
                } catch (PollenhoistException exception) {
                    watchedRevision = -1;
                    nextCall = 0;
                }
            }
        }
        return List.of();
    }
}
