package org.pollenhoist.serving.stream;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;

/** The streams whose origin this VM asks its peers for. Confined to the event loop. */
final class StreamLookups {

    /**
     * How long peers are asked. The question is repeated meanwhile, and peers that know the stream answer within a few
     * milliseconds.
     */
    private static final Duration TIMEOUT = Duration.ofMillis(250);

    /** How long the result of a lookup without an answer is kept. */
    private static final Duration RETENTION = Duration.ofSeconds(2);

    private final Map<StreamKey, MonotonicTime> startedAt = new HashMap<>();

    /** Starts a lookup unless there is one; returns whether it is new. */
    boolean start(StreamKey key, MonotonicTime now) {
        return startedAt.putIfAbsent(key, now) == null;
    }

    /** Returns whether a lookup has ended without an answer. */
    boolean hasFailed(StreamKey key, MonotonicTime now) {
        MonotonicTime started = startedAt.get(key);
        return started != null && now.since(started).compareTo(TIMEOUT) >= 0;
    }

    /** Returns the streams to ask peers for. */
    Set<StreamKey> pending(MonotonicTime now) {
        startedAt.values().removeIf(started -> now.since(started).compareTo(RETENTION) >= 0);
        Set<StreamKey> pending = new HashSet<>(startedAt.keySet());
        pending.removeIf(key -> hasFailed(key, now));
        return pending;
    }

    /** Ends a lookup that was answered; returns whether there was one. */
    boolean end(StreamKey key) {
        return startedAt.remove(key) != null;
    }
}
