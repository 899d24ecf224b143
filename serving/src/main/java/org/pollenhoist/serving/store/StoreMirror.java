package org.pollenhoist.serving.store;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;
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

    /**
     * How long the store waits for a change before it responds to a watch. A connection that hangs has to be detected,
     * and the change read over another one, within the 2 s in which changes have to be in force in a small fleet.
     */
    private static final Duration WATCH_TIMEOUT = Duration.ofMillis(900);

    /** Minimum time between the sending of a call that fails and its repetition. */
    private static final Duration RETRY_SPACING = Duration.ofMillis(200);

    /** Minimum time between two listings of a store that rejects watches. */
    private static final Duration MINIMUM_LISTING_SPACING = Duration.ofSeconds(1);

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
    private final StoreListener listener;
    private final Supplier<Duration> batchingDelay;
    private final Map<String, StoreItem> items = new LinkedHashMap<>();
    private final Map<String, MonotonicTime> delayedRemovals = new HashMap<>();
    private final List<StoreItem> listedItems = new ArrayList<>();
    private final RecordedRemovals removals = new RecordedRemovals();

    private boolean isFollowing = true;
    private boolean isWatchSuspended;
    private StoreRevision listingRevision = StoreRevision.NONE;
    private StoreRevision revisionAtListing = StoreRevision.NONE;
    private StoreRevision revision = StoreRevision.NONE;
    private long latestCall;
    private boolean isLoaded;
    private boolean isAvailable = true;
    private MonotonicTime lastResponseAt;
    private MonotonicTime listingSentAt;
    private Optional<MonotonicTime> listedAt = Optional.empty();
    private Optional<MonotonicTime> knownAsOf = Optional.empty();
    private MonotonicTime recoveredAt;

    /**
     * Creates a mirror without items.
     *
     * @param loop the event loop
     * @param clock returns the current time
     * @param store the store
     * @param listener receives changes
     * @param batchingDelay the delay before it watches again, in which changes gather, since each call has a cost
     */
    public StoreMirror(
            EventLoop loop,
            Supplier<MonotonicTime> clock,
            Store store,
            StoreListener listener,
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
        listedItems.clear();
        listingSentAt = clock.get();
        revisionAtListing = revision;
        list("");
    }

    /**
     * Lists the items again because the store has come back from an older copy: what this process knows may be lost,
     * and what it doesn't know may have revisions that it has seen before. A mirror that doesn't watch hears of it
     * from peers.
     *
     * @param now the current time
     */
    public void onNewEra(MonotonicTime now) {
        // Owners write the items again that the copy lacks, as after an outage.
        recordRecovery(now);
        knownAsOf = Optional.empty();
        if (isFollowing) {
            isWatchSuspended = false;
            start();
        }
    }

    private void list(String after) {
        MonotonicTime sentAt = clock.get();
        long call = ++latestCall;
        store.list("", after, result -> {
            if (call != latestCall) {
                return;
            }
            switch (result) {
                case StoreResult.Success<StorePage> page -> listed(page.value(), after.isEmpty());
                case StoreResult.Rejected<StorePage> rejected -> retry(rejected.reason(), sentAt, this::start);
                case StoreResult.Unavailable<StorePage> unavailable -> retry(unavailable.reason(), sentAt, this::start);
            }
        });
    }

    private void listed(StorePage page, boolean isFirst) {
        markAvailable();
        if (isFirst) {
            // Watching from the first page's revision also returns the changes that were made between the pages.
            listingRevision = page.revision();
        } else if (!page.revision().isOfSameEra(listingRevision)) {
            start();
            return;
        }
        listedItems.addAll(page.items());
        if (page.hasMore() && !page.items().isEmpty()) {
            list(page.items().get(page.items().size() - 1).key());
            return;
        }
        applyListing();
        knownAsOf = Optional.of(listingSentAt);
        listedAt = Optional.of(clock.get());
        listener.onListed();
        watch();
    }

    private void applyListing() {
        StoreRevision before = revision;
        // A store that names no era shows by its revision that it has come back from an older copy.
        boolean hasGoneBack =
                revisionAtListing.isOfSameEra(listingRevision) && revisionAtListing.isAfter(listingRevision);
        if (!hasGoneBack && isOvertakenByPeers()) {
            listedItems.clear();
            return;
        }
        boolean isNewHistory = !isLoaded || hasGoneBack || !listingRevision.isOfSameEra(before);
        Set<String> missing = items.values().stream()
                .filter(item -> hasGoneBack || !item.revision().isAfter(listingRevision))
                .map(StoreItem::key)
                .collect(Collectors.toCollection(HashSet::new));
        listedItems.forEach(item -> missing.remove(item.key()));
        if (hasGoneBack) {
            recordRecovery(clock.get());
            listedItems.forEach(this::replace);
        } else {
            listedItems.forEach(this::apply);
        }
        listedItems.clear();
        revision = hasGoneBack ? listingRevision : StoreRevision.later(revision, listingRevision);
        missing.forEach(key -> remove(key, revision));
        if (isNewHistory || listingRevision.isAfter(before)) {
            // A listing doesn't show what was written and removed since the revision before it.
            removals.beginAt(revision);
        }
        if (isNewHistory) {
            LOG.event(
                    "store_loaded",
                    "items",
                    items.size(),
                    "removed",
                    missing.size(),
                    "revision",
                    revision,
                    "before",
                    before);
        }
        isLoaded = true;
    }

    /** Returns whether peers have reported all of the store at a later revision while it was being listed. */
    private boolean isOvertakenByPeers() {
        return isLoaded
                && revision.isOfSameEra(listingRevision)
                && !listingRevision.isAfter(revision)
                && !revision.equals(revisionAtListing);
    }

    private void watch() {
        if (!isFollowing) {
            isWatchSuspended = true;
            return;
        }
        MonotonicTime sentAt = clock.get();
        StoreRevision after = revision;
        long call = ++latestCall;
        store.watch("", after, WATCH_TIMEOUT, result -> {
            if (call != latestCall) {
                return;
            }
            switch (result) {
                case StoreResult.Success<StorePage> page -> {
                    markAvailable();
                    if (!page.value().revision().isOfSameEra(after)) {
                        // The changes since the copy was made are missing, even if a peer has relayed the era since.
                        start();
                        return;
                    }
                    // An item may be gone at a later revision that a peer has relayed since.
                    page.value().items().stream()
                            .filter(item -> items.containsKey(item.key())
                                    || item.revision().isAfter(revision))
                            .forEach(this::apply);
                    revision = StoreRevision.later(revision, page.value().revision());
                    knownAsOf = Optional.of(sentAt);
                    watchAgain(page.value().items().isEmpty());
                }
                case StoreResult.Rejected<StorePage> rejected -> {
                    LOG.event("store_history_lost", "revision", revision, "reason", rejected.reason());
                    listAgain(clock.get());
                }
                case StoreResult.Unavailable<StorePage> unavailable -> retry(unavailable.reason(), sentAt, this::watch);
            }
        });
    }

    /** Lists the items, not earlier than a while after the last listing, so that it never repeats without a pause. */
    private void listAgain(MonotonicTime now) {
        MonotonicTime due = listedAt.map(at -> at.plus(MINIMUM_LISTING_SPACING)).orElse(now);
        if (now.isBefore(due)) {
            schedule(this::start, due.since(now));
        } else {
            start();
        }
    }

    private void watchAgain(boolean hasNoChanges) {
        if (hasNoChanges) {
            watch();
        } else {
            schedule(this::watch, batchingDelay.get());
        }
    }

    /** Makes a call after a delay unless another one has been made by then. */
    private void schedule(Runnable action, Duration delay) {
        long call = latestCall;
        loop.schedule(
                () -> {
                    if (call == latestCall) {
                        action.run();
                    }
                },
                Math.max(0, delay.toMillis()),
                TimeUnit.MILLISECONDS);
    }

    private void retry(String reason, MonotonicTime sentAt, Runnable call) {
        if (isAvailable) {
            isAvailable = false;
            LOG.event("store_lost", "revision", revision, "reason", reason);
        }
        schedule(call, RETRY_SPACING.minus(clock.get().since(sentAt)));
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
        boolean isKnown = known != null && !item.revision().isAfter(known.revision());
        boolean isRemovedSince = known == null && removals.isRemovedAfter(item.key(), item.revision());
        if (isKnown || isRemovedSince) {
            return;
        }
        if (item.isRemoved()) {
            remove(item.key(), item.revision());
        } else {
            put(item);
        }
    }

    /** Applies an item of a history that is not comparable with what is known. */
    private void replace(StoreItem item) {
        StoreItem known = items.get(item.key());
        if (known == null || !known.revision().equals(item.revision())) {
            put(item);
        }
    }

    private void put(StoreItem item) {
        delayedRemovals.remove(item.key());
        removals.forget(item.key());
        items.put(item.key(), item);
        try {
            listener.onWritten(item);
        } catch (RuntimeException failure) {
            // One item must cost neither the others of its page nor the watch.
            LOG.event("item_rejected", "key", item.key(), "revision", item.revision(), "reason", failure);
        }
    }

    private void remove(String key, StoreRevision removalRevision) {
        // Peers may know an item that was written and removed between two calls of this mirror.
        removals.add(key, removalRevision);
        if (items.remove(key) == null) {
            return;
        }
        MonotonicTime now = clock.get();
        MonotonicTime until = recoveredAt.plus(REWRITE_PERIOD);
        if (now.isBefore(until) && listener.mayBeRewritten(key)) {
            delayedRemovals.put(key, until);
            LOG.event("removal_held", "key", key, "for_ms", until.since(now).toMillis());
        } else {
            reportRemoval(key);
        }
    }

    private void reportRemoval(String key) {
        try {
            listener.onRemoved(key);
        } catch (RuntimeException failure) {
            // As for an item that was written.
            LOG.event("removal_rejected", "key", key, "reason", failure);
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
     * @return the changes after it, or a snapshot if the peer knows none, knows another era, or removals after it are
     *     no longer recorded
     */
    public StoreChanges changesAfter(StoreRevision knownRevision, MonotonicTime now) {
        boolean isSnapshot = !knownRevision.isOfSameEra(revision)
                || !removals.isCompleteAfter(knownRevision)
                || knownRevision.number() == 0;
        List<StoreItem> changed = items.values().stream()
                .filter(item -> isSnapshot || item.revision().isAfter(knownRevision))
                .toList();
        List<StoreItem> removed = isSnapshot ? List.of() : removals.after(knownRevision);
        return new StoreChanges(revision, changed, removed, isSnapshot, now.since(recoveredAt));
    }

    /**
     * Applies the changes that a peer reports, if the peer knows a newer revision of the store.
     *
     * @param changes the changes that the peer sent
     */
    public void applyPeerChanges(StoreChanges changes) {
        boolean isContinued = isLoaded && changes.revision().isOfSameEra(revision);
        if (!changes.revision().isAfter(revision) || (!changes.isSnapshot() && !isContinued)) {
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
            removals.beginAt(revision);
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
                reportRemoval(removal.getKey());
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
    public StoreRevision revision() {
        return revision;
    }
}
