package org.pollenhoist.serving.store;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;

/**
 * Keeps a local copy of all items of the store by listing them once and then watching for changes. Confined to the
 * event loop.
 *
 * <p>Removals that arrive shortly after an outage of the store are delayed: servers whose leases expired during the
 * outage write their entries again as soon as they reach the store.
 */
public final class StoreMirror {

    /** Receives the changes of the items. */
    public interface Listener {

        /**
         * An item was written.
         *
         * @param item the item
         */
        void onWritten(StoreItem item);

        /**
         * An item was removed.
         *
         * @param key its key
         */
        void onRemoved(String key);

        /** All items have been read, as a list or as a peer's snapshot; earlier changes may have been missed. */
        void onListed();

        /**
         * Returns whether the owner of an item writes it again if its lease expired during an outage of the store.
         *
         * @param key the item's key
         * @return true if a removal of the item shortly after an outage must be delayed
         */
        boolean mayBeRewritten(String key);
    }

    /**
     * How long the store waits for a change before it responds to a watch. An unresponsive connection is detected
     * shortly after this time.
     */
    private static final Duration WATCH_TIMEOUT = Duration.ofMillis(1_500);

    /** Delay before a failed call is repeated. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    /** Number of removals that are recorded for peers that ask for changes. */
    private static final int MAXIMUM_RECORDED_REMOVALS = 512;

    /** How much later than the watch time-out a response may arrive, including the delay before the watch. */
    private static final Duration RESPONSE_MARGIN = Duration.ofSeconds(1);

    /**
     * Maximum age of what a mirror in contact with the store knows, counted from the sending of a watch: the watch may
     * end with a change at its time-out, and the next one without.
     */
    private static final Duration MAXIMUM_AGE = WATCH_TIMEOUT.multipliedBy(2).plus(RESPONSE_MARGIN);

    /** How long after an outage owners may still write their items again. */
    private static final Duration REWRITE_PERIOD = Duration.ofMillis(1_900);

    private static final DecisionLog LOG = DecisionLog.of("store");

    private final EventLoop loop;
    private final Supplier<MonotonicTime> clock;
    private final Store store;
    private final Listener listener;
    private final Supplier<Duration> batchingDelay;
    private final Map<String, StoreItem> items = new LinkedHashMap<>();
    private final Map<String, MonotonicTime> delayedRemovals = new HashMap<>();
    private final Set<String> listedKeys = new HashSet<>();
    private final Map<String, Long> removalRevisions = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            boolean isTooMany = size() > MAXIMUM_RECORDED_REMOVALS;
            if (isTooMany) {
                removalsCompleteFrom = Math.max(removalsCompleteFrom, eldest.getValue());
            }
            return isTooMany;
        }
    };

    private boolean isFollowing = true;
    private boolean isWatchSuspended;
    private long listingRevision;
    private long removalsCompleteFrom;
    private long revision;
    private boolean isLoaded;
    private boolean isAvailable = true;
    private MonotonicTime lastResponseAt;
    private MonotonicTime listingSentAt;
    private Optional<MonotonicTime> knownAsOf = Optional.empty();
    private MonotonicTime recoveredAt;

    /**
     * Creates a mirror without items.
     *
     * @param loop the event loop
     * @param clock returns the current time
     * @param store the store
     * @param listener receives changes
     * @param batchingDelay the delay between receiving changes and watching again; it lets several changes arrive with
     *     one call, because each call has a cost
     */
    public StoreMirror(
            EventLoop loop,
            Supplier<MonotonicTime> clock,
            Store store,
            Listener listener,
            Supplier<Duration> batchingDelay) {
        this.loop = loop;
        this.clock = clock;
        this.store = store;
        this.listener = listener;
        this.batchingDelay = batchingDelay;
        this.lastResponseAt = clock.get();
        this.listingSentAt = lastResponseAt;
        this.recoveredAt = lastResponseAt.plus(REWRITE_PERIOD.negated());
    }

    /** Starts to list the items, after which the mirror watches for changes. */
    public void start() {
        listedKeys.clear();
        listingSentAt = clock.get();
        list("");
    }

    private void list(String after) {
        store.list("", after, result -> {
            switch (result) {
                case StoreResult.Success<StorePage> page -> listed(page.value(), after.isEmpty());
                case StoreResult.Rejected<StorePage> rejected -> retry(rejected.reason(), this::start);
                case StoreResult.Unavailable<StorePage> unavailable -> retry(unavailable.reason(), this::start);
            }
        });
    }

    private void listed(StorePage page, boolean isFirst) {
        markAvailable();
        if (isFirst) {
            // Watching from the first page's revision also returns the changes that were made between the pages.
            listingRevision = page.revision();
        }
        for (StoreItem item : page.items()) {
            listedKeys.add(item.key());
            apply(item);
        }
        if (page.hasMore()) {
            list(page.items().get(page.items().size() - 1).key());
            return;
        }
        Set<String> missing = new HashSet<>(items.keySet());
        missing.removeAll(listedKeys);
        revision = Math.max(revision, listingRevision);
        missing.forEach(key -> remove(key, revision));
        knownAsOf = Optional.of(listingSentAt);
        if (!isLoaded) {
            isLoaded = true;
            removalsCompleteFrom = revision;
            LOG.event("store_loaded", "items", items.size(), "revision", revision);
        }
        listener.onListed();
        watch();
    }

    private void watch() {
        if (!isFollowing) {
            isWatchSuspended = true;
            return;
        }
        MonotonicTime sentAt = clock.get();
        store.watch("", revision, WATCH_TIMEOUT, result -> {
            switch (result) {
                case StoreResult.Success<StorePage> page -> {
                    markAvailable();
                    page.value().items().forEach(this::apply);
                    revision = Math.max(revision, page.value().revision());
                    knownAsOf = Optional.of(sentAt);
                    watchAgain(page.value().items().isEmpty());
                }
                case StoreResult.Rejected<StorePage> rejected -> {
                    LOG.event("store_history_lost", "revision", revision, "reason", rejected.reason());
                    start();
                }
                case StoreResult.Unavailable<StorePage> unavailable -> retry(unavailable.reason(), this::watch);
            }
        });
    }

    private void watchAgain(boolean hasNoChanges) {
        if (hasNoChanges) {
            watch();
        } else {
            loop.schedule(this::watch, batchingDelay.get().toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void retry(String reason, Runnable call) {
        if (isAvailable) {
            isAvailable = false;
            LOG.event("store_lost", "revision", revision, "reason", reason);
        }
        loop.schedule(call, RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void markAvailable() {
        lastResponseAt = clock.get();
        if (!isAvailable) {
            isAvailable = true;
            recoveredAt = lastResponseAt;
            LOG.event("store_regained", "revision", revision);
        }
    }

    private void apply(StoreItem item) {
        StoreItem known = items.get(item.key());
        if (known != null && known.revision() >= item.revision()) {
            return;
        }
        if (item.isRemoved()) {
            remove(item.key(), item.revision());
            return;
        }
        delayedRemovals.remove(item.key());
        removalRevisions.remove(item.key());
        items.put(item.key(), item);
        try {
            listener.onWritten(item);
        } catch (RuntimeException failure) {
            // One item must cost neither the others of its page nor the watch.
            LOG.event("item_rejected", "key", item.key(), "revision", item.revision(), "reason", failure);
        }
    }

    private void remove(String key, long removalRevision) {
        if (items.remove(key) == null) {
            return;
        }
        removalRevisions.remove(key);
        removalRevisions.put(key, removalRevision);
        MonotonicTime now = clock.get();
        MonotonicTime until = recoveredAt.plus(REWRITE_PERIOD);
        if (now.isBefore(until) && listener.mayBeRewritten(key)) {
            delayedRemovals.put(key, until);
            LOG.event("removal_held", "key", key, "for_ms", until.since(now).toMillis());
        } else {
            listener.onRemoved(key);
        }
    }

    /**
     * Starts or stops watching the store. While the mirror doesn't watch, it changes only by the changes that peers
     * report.
     *
     * @param follows whether to watch the store
     */
    public void setFollowing(boolean follows) {
        if (follows == isFollowing) {
            return;
        }
        isFollowing = follows;
        LOG.event("store_following", "follows", follows, "revision", revision);
        if (follows && isWatchSuspended) {
            isWatchSuspended = false;
            watch();
        }
    }

    /**
     * Returns whether this process watches the store and has recently received a response to a recent call.
     *
     * @param now the current time
     * @return false while it doesn't watch the store, or the store doesn't respond
     */
    public boolean isCurrent(MonotonicTime now) {
        Duration longest = WATCH_TIMEOUT.plus(RESPONSE_MARGIN);
        return isFollowing
                && isLoaded
                && isAvailable
                && now.since(lastResponseAt).compareTo(longest) < 0
                && knownAsOf
                        .filter(at -> now.since(at).compareTo(MAXIMUM_AGE) < 0)
                        .isPresent();
    }

    /**
     * Returns a time at which the store held nothing later than what this process knows. It is the time at which the
     * last answered call was sent, since a process that stands still may read the response long after the store wrote
     * it. Changes that peers report don't count.
     *
     * @return the time, empty if the store has not been listed yet
     */
    public Optional<MonotonicTime> knownAsOf() {
        return knownAsOf;
    }

    /**
     * Returns the changes after the revision that a peer knows.
     *
     * @param knownRevision the revision up to which the peer knows the store
     * @param now the current time
     * @return the changes after it, or a snapshot if the revision is 0 or removals after it are no longer recorded
     */
    public StoreChanges changesAfter(long knownRevision, MonotonicTime now) {
        boolean isSnapshot = knownRevision < removalsCompleteFrom || knownRevision == 0;
        List<StoreItem> changed = items.values().stream()
                .filter(item -> isSnapshot || item.revision() > knownRevision)
                .toList();
        List<StoreItem> removals = removalRevisions.entrySet().stream()
                .filter(removal -> !isSnapshot && removal.getValue() > knownRevision)
                .map(removal -> new StoreItem(removal.getKey(), new byte[0], removal.getValue(), true))
                .toList();
        return new StoreChanges(revision, changed, removals, isSnapshot, now.since(recoveredAt));
    }

    /**
     * Applies the changes that a peer reports, if the peer knows a newer revision of the store.
     *
     * @param changes the changes that the peer sent
     */
    public void applyPeerChanges(StoreChanges changes) {
        if (changes.revision() <= revision || (!changes.isSnapshot() && !isLoaded)) {
            return;
        }
        LOG.event(
                "store_relayed",
                "items",
                changes.items().size(),
                "removals",
                changes.removals().size(),
                "whole",
                changes.isSnapshot(),
                "revision",
                changes.revision(),
                "before",
                revision);
        recordRecovery(clock.get().plus(changes.sinceStoreRecovery().negated()));
        revision = changes.revision();
        Set<String> missing = new HashSet<>(changes.isSnapshot() ? items.keySet() : Set.of());
        changes.items().forEach(item -> missing.remove(item.key()));
        changes.items().forEach(this::apply);
        changes.removals().forEach(this::apply);
        missing.forEach(key -> remove(key, revision));
        if (changes.isSnapshot()) {
            removalsCompleteFrom = revision;
            isLoaded = true;
            listener.onListed();
        }
    }

    private void recordRecovery(MonotonicTime at) {
        if (recoveredAt.isBefore(at)) {
            recoveredAt = at;
        }
    }

    /**
     * Reports the delayed removals whose delay has ended to the listener.
     *
     * @param now the current time
     */
    public void applyDueRemovals(MonotonicTime now) {
        for (Map.Entry<String, MonotonicTime> removal :
                Map.copyOf(delayedRemovals).entrySet()) {
            if (!now.isBefore(removal.getValue())) {
                delayedRemovals.remove(removal.getKey());
                listener.onRemoved(removal.getKey());
            }
        }
    }

    /**
     * Finds an item.
     *
     * @param key its key
     * @return the item as last received, or empty
     */
    public Optional<StoreItem> find(String key) {
        return Optional.ofNullable(items.get(key));
    }

    /**
     * Returns the revision up to which the mirror knows the store.
     *
     * @return the revision
     */
    public long revision() {
        return revision;
    }
}
