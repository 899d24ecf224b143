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
 * Follows all items of the store by reading them once and watching for changes. Confined to the event loop.
 *
 * <p>A removal that is seen just after an outage is held back for a moment: servers whose leases ran out in the outage
 * write their entries again as soon as they reach the store.
 */
public final class StoreMirror {

    /** Receives changes of items. */
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

        /** All items have been read; changes before that may have been missed. */
        void onListed();

        /**
         * Tells whether the owner of an item writes it again where it lapsed in an outage.
         *
         * @param key the item's key
         * @return true where its removal just after an outage is to be held back
         */
        boolean mayBeRewritten(String key);
    }

    /** How long the store holds a watch; a connection that went silent is found a little later. */
    private static final Duration WATCH_WAIT = Duration.ofMillis(1_500);

    /** Pause after a failed call. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(200);

    /** Removals that are remembered for peers. */
    private static final int REMEMBERED_REMOVALS = 512;

    /** How much later than asked for an answer to a watch may come, the pause before it included. */
    private static final Duration ANSWER_SLACK = Duration.ofSeconds(1);

    /** How long after an outage entries may come back. */
    private static final Duration RETURN_TIME = Duration.ofMillis(1_900);

    private static final DecisionLog LOG = DecisionLog.of("store");

    private final EventLoop loop;
    private final Supplier<MonotonicTime> clock;
    private final Store store;
    private final Listener listener;
    private final Supplier<Duration> gatheringPause;
    private final Map<String, StoreItem> items = new LinkedHashMap<>();
    private final Map<String, MonotonicTime> heldRemovals = new HashMap<>();
    private final Set<String> listed = new HashSet<>();
    private final Map<String, Long> removedAt = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            boolean isTooMany = size() > REMEMBERED_REMOVALS;
            if (isTooMany) {
                removalsKnownFrom = Math.max(removalsKnownFrom, eldest.getValue());
            }
            return isTooMany;
        }
    };

    private boolean isFollowing = true;
    private boolean isResting;
    private long listingRevision;
    private long removalsKnownFrom;
    private long revision;
    private boolean isLoaded;
    private boolean isAvailable = true;
    private MonotonicTime answeredAt;
    private MonotonicTime returnedAt;

    /**
     * Creates a mirror without items.
     *
     * @param loop the event loop
     * @param clock reads the present time
     * @param store the store
     * @param listener receives changes
     * @param gatheringPause the pause after changes, so that those of a while come with one call: calls are paid for
     */
    public StoreMirror(
            EventLoop loop,
            Supplier<MonotonicTime> clock,
            Store store,
            Listener listener,
            Supplier<Duration> gatheringPause) {
        this.loop = loop;
        this.clock = clock;
        this.store = store;
        this.listener = listener;
        this.gatheringPause = gatheringPause;
        this.answeredAt = clock.get();
        this.returnedAt = answeredAt.plus(RETURN_TIME.negated());
    }

    /** Begins to read. */
    public void start() {
        listed.clear();
        list("");
    }

    private void list(String after) {
        store.list("", after, answer -> {
            switch (answer) {
                case StoreResult.Success<StorePage> page -> listed(page.value(), after.isEmpty());
                case StoreResult.Rejected<StorePage> rejected -> retry(rejected.reason(), this::start);
                case StoreResult.Unavailable<StorePage> unavailable -> retry(unavailable.reason(), this::start);
            }
        });
    }

    private void listed(StorePage page, boolean isFirst) {
        markAvailable();
        if (isFirst) {
            // Changes between the pages are caught up by watching from the first page's revision.
            listingRevision = page.revision();
        }
        for (StoreItem item : page.items()) {
            listed.add(item.key());
            apply(item);
        }
        if (page.hasMore()) {
            list(page.items().get(page.items().size() - 1).key());
            return;
        }
        Set<String> missing = new HashSet<>(items.keySet());
        missing.removeAll(listed);
        revision = Math.max(revision, listingRevision);
        missing.forEach(key -> remove(key, revision));
        if (!isLoaded) {
            isLoaded = true;
            removalsKnownFrom = revision;
            LOG.event("store_loaded", "items", items.size(), "revision", revision);
        }
        listener.onListed();
        watch();
    }

    private void watch() {
        if (!isFollowing) {
            isResting = true;
            return;
        }
        store.watch("", revision, WATCH_WAIT, answer -> {
            switch (answer) {
                case StoreResult.Success<StorePage> page -> {
                    markAvailable();
                    page.value().items().forEach(this::apply);
                    revision = Math.max(revision, page.value().revision());
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

    private void watchAgain(boolean isQuiet) {
        if (isQuiet) {
            watch();
        } else {
            loop.schedule(this::watch, gatheringPause.get().toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void retry(String reason, Runnable call) {
        if (isAvailable) {
            isAvailable = false;
            LOG.event("store_lost", "revision", revision, "reason", reason);
        }
        loop.schedule(call, RETRY_PAUSE.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void markAvailable() {
        answeredAt = clock.get();
        if (!isAvailable) {
            isAvailable = true;
            returnedAt = answeredAt;
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
        heldRemovals.remove(item.key());
        removedAt.remove(item.key());
        items.put(item.key(), item);
        listener.onWritten(item);
    }

    private void remove(String key, long removalRevision) {
        if (items.remove(key) == null) {
            return;
        }
        removedAt.remove(key);
        removedAt.put(key, removalRevision);
        MonotonicTime now = clock.get();
        MonotonicTime until = returnedAt.plus(RETURN_TIME);
        if (now.isBefore(until) && listener.mayBeRewritten(key)) {
            heldRemovals.put(key, until);
            LOG.event("removal_held", "key", key, "for_ms", until.since(now).toMillis());
        } else {
            listener.onRemoved(key);
        }
    }

    /**
     * Begins or ceases to follow the store. Without following, what is known changes only by what peers tell.
     *
     * @param follows whether to follow
     */
    public void setFollowing(boolean follows) {
        if (follows == isFollowing) {
            return;
        }
        isFollowing = follows;
        LOG.event("store_following", "follows", follows, "revision", revision);
        if (follows && isResting) {
            isResting = false;
            watch();
        }
    }

    /**
     * Tells whether this process follows the store and has heard of it just now.
     *
     * @param now the present time
     * @return false while it does not follow, or the store does not answer
     */
    public boolean isCurrent(MonotonicTime now) {
        Duration longest = WATCH_WAIT.plus(ANSWER_SLACK);
        return isFollowing && isLoaded && isAvailable && now.since(answeredAt).compareTo(longest) < 0;
    }

    /**
     * Returns what a peer does not know.
     *
     * @param knownRevision the revision up to which it knows the store
     * @param now the present time
     * @return the changes since then, or everything where these are not known any more
     */
    public StoreChanges changesAfter(long knownRevision, MonotonicTime now) {
        boolean isSnapshot = knownRevision < removalsKnownFrom || knownRevision == 0;
        List<StoreItem> changed = items.values().stream()
                .filter(item -> isSnapshot || item.revision() > knownRevision)
                .toList();
        List<StoreItem> removals = removedAt.entrySet().stream()
                .filter(removal -> !isSnapshot && removal.getValue() > knownRevision)
                .map(removal -> new StoreItem(removal.getKey(), new byte[0], removal.getValue(), true))
                .toList();
        return new StoreChanges(revision, changed, removals, isSnapshot, now.since(returnedAt));
    }

    /**
     * Takes over what a peer knows of the store, where that is newer.
     *
     * @param known what the peer tells
     */
    public void applyPeerChanges(StoreChanges known) {
        if (known.revision() <= revision || (!known.isSnapshot() && !isLoaded)) {
            return;
        }
        LOG.event(
                "store_relayed",
                "items",
                known.items().size(),
                "removals",
                known.removals().size(),
                "whole",
                known.isSnapshot(),
                "revision",
                known.revision(),
                "before",
                revision);
        noteReturn(clock.get().plus(known.sinceStoreRecovery().negated()));
        revision = known.revision();
        Set<String> missing = new HashSet<>(known.isSnapshot() ? items.keySet() : Set.of());
        known.items().forEach(item -> missing.remove(item.key()));
        known.items().forEach(this::apply);
        known.removals().forEach(this::apply);
        missing.forEach(key -> remove(key, revision));
        if (known.isSnapshot()) {
            removalsKnownFrom = revision;
            isLoaded = true;
            listener.onListed();
        }
    }

    private void noteReturn(MonotonicTime at) {
        if (returnedAt.isBefore(at)) {
            returnedAt = at;
        }
    }

    /**
     * Lets removals take effect whose time has come.
     *
     * @param now the present time
     */
    public void applyDueRemovals(MonotonicTime now) {
        for (Map.Entry<String, MonotonicTime> held : Map.copyOf(heldRemovals).entrySet()) {
            if (!now.isBefore(held.getValue())) {
                heldRemovals.remove(held.getKey());
                listener.onRemoved(held.getKey());
            }
        }
    }

    /**
     * Finds an item.
     *
     * @param key its key
     * @return the item as it was last seen, or empty
     */
    public Optional<StoreItem> find(String key) {
        return Optional.ofNullable(items.get(key));
    }

    /**
     * Returns the revision up to which the store is known.
     *
     * @return the revision
     */
    public long revision() {
        return revision;
    }
}
