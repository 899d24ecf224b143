package org.pollenhoist.routing;

/**
 * One event of an engine's prefix cache.
 *
 * @param sequence the event's number, counted per incarnation without gaps by the engine
 * @param fingerprint the hash of the prefix
 * @param kind what happened
 */
public record CacheEvent(long sequence, long fingerprint, Kind kind) {

    /** What happened to the prefix. */
    public enum Kind {
        /** It is cached now. */
        STORED,
        /** It is no longer cached. */
        EVICTED
    }
}
