package org.pollenhoist.experiments.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;
import org.pollenhoist.common.AdapterName;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.routing.CacheEvent;

/**
 * An engine with a bounded batch, one prefill at a time, a prefix cache and an adapter cache in limited memory, and a
 * queue ordered by priority.
 */
final class SimulatedEngine {

    static final int BATCH = 32;

    private static final long NANOSECONDS_PER_BLOCK = 5_000_000;
    private static final long NANOSECONDS_PER_TOKEN = 18_000_000;
    private static final int CACHED_BLOCKS = 1_500;
    private static final int CACHED_ADAPTERS = 12;

    private final long adapterLoadNanoseconds;
    private final Set<ModelName> models = new TreeSet<>();
    private final LruSet<Long> prefixCache = new LruSet<>(CACHED_BLOCKS);
    private final LruSet<AdapterName> adapters = new LruSet<>(CACHED_ADAPTERS);
    private final PriorityQueue<Queued> queue = new PriorityQueue<>(
            Comparator.comparingInt((Queued queued) -> -queued.request().priority())
                    .thenComparingLong(Queued::number));
    private final List<CacheEvent> events = new ArrayList<>();
    private int running;
    private long prefillFreeAt;
    private long nextNumber;
    private long nextSequence;

    private record Queued(SimulatedRequest request, long number, int trace) {}

    /** A request that starts to run, with the times of its first token and its end. */
    record Started(int trace, long firstToken, long end, int cachedBlocks) {}

    private static final class LruSet<E> {
        private final Map<E, Boolean> members = new LinkedHashMap<>(16, 0.75f, true);
        private final int capacity;

        LruSet(int capacity) {
            this.capacity = capacity;
        }

        boolean touch(E member) {
            return members.get(member) != null;
        }

        /** Adds a member. Returns the one that had to go, or null. */
        E add(E member) {
            members.put(member, true);
            if (members.size() <= capacity) {
                return null;
            }
            E eldest = members.keySet().iterator().next();
            members.remove(eldest);
            return eldest;
        }
    }

    SimulatedEngine(long adapterLoadNanoseconds) {
        this.adapterLoadNanoseconds = adapterLoadNanoseconds;
    }

    Set<ModelName> models() {
        return models;
    }

    Set<AdapterName> adapters() {
        return Set.copyOf(adapters.members.keySet());
    }

    int running() {
        return running;
    }

    int waiting() {
        return queue.size();
    }

    void enqueue(SimulatedRequest request, int trace) {
        queue.add(new Queued(request, nextNumber++, trace));
    }

    /** Starts waiting requests while the batch has room. */
    List<Started> startWaiting(long now) {
        List<Started> started = new ArrayList<>();
        while (running < BATCH && !queue.isEmpty()) {
            started.add(start(queue.poll(), now));
        }
        return started;
    }

    void end() {
        running--;
    }

    List<CacheEvent> takeEvents() {
        List<CacheEvent> taken = List.copyOf(events);
        events.clear();
        return taken;
    }

    private Started start(Queued queued, long now) {
        running++;
        SimulatedRequest request = queued.request();
        int cached = cachedBlocks(request.prefixes());
        long work = (request.prefixes().size() - cached) * NANOSECONDS_PER_BLOCK;
        work += request.adapter().map(this::loadAdapter).orElse(0L);
        prefillFreeAt = Math.max(now, prefillFreeAt) + work;
        request.prefixes().forEach(this::store);
        long perToken = NANOSECONDS_PER_TOKEN + NANOSECONDS_PER_TOKEN * running / (2 * BATCH);
        long end = prefillFreeAt + perToken * request.outputTokens();
        return new Started(queued.trace(), prefillFreeAt, end, cached);
    }

    private long loadAdapter(AdapterName adapter) {
        if (adapters.touch(adapter)) {
            return 0;
        }
        adapters.add(adapter);
        return adapterLoadNanoseconds;
    }

    private int cachedBlocks(List<Long> prefixes) {
        int cached = 0;
        while (cached < prefixes.size() && prefixCache.touch(prefixes.get(cached))) {
            cached++;
        }
        return cached;
    }

    private void store(long prefix) {
        if (prefixCache.touch(prefix)) {
            return;
        }
        Long evicted = prefixCache.add(prefix);
        events.add(new CacheEvent(nextSequence++, prefix, CacheEvent.Kind.STORED));
        if (evicted != null) {
            events.add(new CacheEvent(nextSequence++, evicted, CacheEvent.Kind.EVICTED));
        }
    }
}
