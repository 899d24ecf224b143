package org.pollenhoist.serving.store;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Collection;
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
        boolean mayReturn(String key);
    }

    /** How long the store holds a watch; a connection that went silent is found a little later. */
    private static final Duration WATCH_WAIT = Duration.ofMillis(1_500);

    /** Pause after a failed call. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(200);

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
                case StoreAnswer.Success<StorePage> page -> listed(page.value(), after.isEmpty());
                case StoreAnswer.Rejected<StorePage> rejected -> retry(rejected.reason(), this::start);
                case StoreAnswer.Unavailable<StorePage> unavailable -> retry(unavailable.reason(), this::start);
            }
        });
    }

    private void listed(StorePage page, boolean isFirst) {
        markAvailable();
        if (isFirst) {
            // Changes between the pages are caught up by watching from the first page's revision.
            revision = page.revision();
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
        missing.forEach(this::remove);
        if (!isLoaded) {
            isLoaded = true;
            LOG.event("store_loaded", "items", items.size(), "revision", revision);
        }
        listener.onListed();
        watch();
    }

    private void watch() {
        store.watch("", revision, WATCH_WAIT, answer -> {
            switch (answer) {
                case StoreAnswer.Success<StorePage> page -> {
                    markAvailable();
                    page.value().items().forEach(this::apply);
                    revision = Math.max(revision, page.value().revision());
                    watchAgain(page.value().items().isEmpty());
                }
                case StoreAnswer.Rejected<StorePage> rejected -> {
                    LOG.event("store_history_lost", "revision", revision, "reason", rejected.reason());
                    start();
                }
                case StoreAnswer.Unavailable<StorePage> unavailable -> retry(unavailable.reason(), this::watch);
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
            remove(item.key());
            return;
        }
        heldRemovals.remove(item.key());
        items.put(item.key(), item);
        listener.onWritten(item);
    }

    private void remove(String key) {
        if (items.remove(key) == null) {
            return;
        }
        MonotonicTime now = clock.get();
        MonotonicTime until = returnedAt.plus(RETURN_TIME);
        if (now.isBefore(until) && listener.mayReturn(key)) {
            heldRemovals.put(key, until);
            LOG.event("removal_held", "key", key, "for_ms", until.since(now).toMillis());
        } else {
            listener.onRemoved(key);
        }
    }

    /**
     * Takes over what a peer knows of the store, where that is newer.
     *
     * @param known all items that the peer knows
     * @param knownRevision the revision up to which it knows them
     */
    public void adopt(List<StoreItem> known, long knownRevision) {
        if (knownRevision <= revision) {
            return;
        }
        LOG.event("store_relayed", "items", known.size(), "revision", knownRevision, "before", revision);
        revision = knownRevision;
        Set<String> missing = new HashSet<>(items.keySet());
        known.forEach(item -> missing.remove(item.key()));
        known.forEach(this::apply);
        missing.forEach(this::remove);
        isLoaded = true;
        listener.onListed();
    }

    /**
     * Returns all items that are known.
     *
     * @return the items
     */
    public Collection<StoreItem> items() {
        return items.values();
    }

    /**
     * Lets removals take effect whose time has come.
     *
     * @param now the present time
     */
    public void tick(MonotonicTime now) {
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

    /**
     * Tells how long ago the store answered.
     *
     * @param now the present time
     * @return the time since its last answer
     */
    public Duration silence(MonotonicTime now) {
        return now.since(answeredAt);
    }
}
