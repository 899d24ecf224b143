package org.pollenhoist.serving.stream;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.pollenhoist.common.MonotonicTime;

/**
 * The origins of streams that callers may resume: those that began at this VM, and those that peers have told it.
 * Confined to the event loop.
 */
public final class StreamDirectory {

    /** How long a stream is kept after its beginning; callers give up long before. */
    private static final Duration RETENTION = Duration.ofSeconds(60);

    /** How long a complete stream is kept, since its last bytes may not reach the caller. */
    private static final Duration RETENTION_AFTER_END = Duration.ofSeconds(5);

    private static final int MAXIMUM_STREAMS = 65_536;

    /** One stream. Its origin is empty if the same identifier began streams of different origins. */
    private record Stream(Optional<StreamOrigin> origin, MonotonicTime until) {}

    private final Map<StreamKey, Stream> streams = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<StreamKey, Stream> eldest) {
            return size() > MAXIMUM_STREAMS;
        }
    };

    private final Map<StreamKey, StreamOrigin> unannounced = new LinkedHashMap<>();
    private final Map<StreamKey, MonotonicTime> runningSince = new LinkedHashMap<>();

    /** Creates an empty directory. */
    public StreamDirectory() {}

    /**
     * Records the first event of a stream at this VM.
     *
     * @param key the stream
     * @param origin what wrote the event
     * @param now the current time
     */
    public void begin(StreamKey key, StreamOrigin origin, MonotonicTime now) {
        put(key, origin, now);
        unannounced.put(key, origin);
        runningSince.putIfAbsent(key, now);
    }

    /**
     * Records what a peer or the store knows of a stream.
     *
     * @param key the stream
     * @param origin what wrote its first event
     * @param now the current time
     */
    public void learn(StreamKey key, StreamOrigin origin, MonotonicTime now) {
        put(key, origin, now);
    }

    private void put(StreamKey key, StreamOrigin origin, MonotonicTime now) {
        Stream known = streams.remove(key);
        boolean isContradiction = known != null && !known.origin().equals(Optional.of(origin));
        streams.put(key, new Stream(isContradiction ? Optional.empty() : Optional.of(origin), now.plus(RETENTION)));
    }

    /**
     * Records that a stream was passed on to its end.
     *
     * @param key the stream
     * @param now the current time
     */
    public void end(StreamKey key, MonotonicTime now) {
        unannounced.remove(key);
        runningSince.remove(key);
        streams.computeIfPresent(key, (same, known) -> new Stream(known.origin(), now.plus(RETENTION_AFTER_END)));
    }

    /**
     * Finds the origin of a stream.
     *
     * @param key the stream
     * @param now the current time
     * @return its origin, empty if it is not known for certain
     */
    public Optional<StreamOrigin> find(StreamKey key, MonotonicTime now) {
        return Optional.ofNullable(streams.get(key))
                .filter(stream -> now.isBefore(stream.until()))
                .flatMap(Stream::origin);
    }

    /**
     * Returns the streams that began at this VM, have not ended and have not been announced, and marks them as
     * announced.
     *
     * @param services selects the services whose streams are announced
     * @return their origins
     */
    public Map<StreamKey, StreamOrigin> takeUnannounced(Predicate<String> services) {
        Map<StreamKey, StreamOrigin> taken = new HashMap<>(unannounced);
        taken.values().removeIf(origin -> !services.test(origin.service()));
        unannounced.keySet().removeAll(taken.keySet());
        return taken;
    }

    /**
     * Returns the streams that began at this VM and were not passed on to their end.
     *
     * @param services selects the services whose streams are returned
     * @param minimumAge the time since their beginning
     * @param now the current time
     * @return their origins, the oldest first
     */
    public Map<StreamKey, StreamOrigin> running(Predicate<String> services, Duration minimumAge, MonotonicTime now) {
        Map<StreamKey, StreamOrigin> running = new LinkedHashMap<>();
        runningSince.forEach((key, since) -> {
            if (now.since(since).compareTo(minimumAge) >= 0) {
                find(key, now)
                        .filter(origin -> services.test(origin.service()))
                        .ifPresent(origin -> running.put(key, origin));
            }
        });
        return running;
    }

    /**
     * Discards streams that no caller resumes any more.
     *
     * @param now the current time
     */
    public void expire(MonotonicTime now) {
        streams.values().removeIf(stream -> !now.isBefore(stream.until()));
        unannounced.keySet().retainAll(streams.keySet());
        runningSince.keySet().retainAll(streams.keySet());
    }

    /**
     * Returns the number of streams.
     *
     * @return the number, expired ones included until they are discarded
     */
    public int size() {
        return streams.size();
    }
}
