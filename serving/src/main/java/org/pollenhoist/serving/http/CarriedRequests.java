package org.pollenhoist.serving.http;

import java.time.Duration;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;

/**
 * The requests that a connection has carried, by the identifiers that all attempts of a request share. A connection
 * does not carry a request twice: a copy of the response to the first attempt would be taken for the response to the
 * second. Confined to the event loop.
 */
final class CarriedRequests {

    /** Number of requests without success after which the connection is closed; these are never forgotten. */
    private static final int MAXIMUM_UNSUCCESSFUL = 16;

    /**
     * How long a request is known after a response that was successful by its status and framing. The sender may still
     * find that such a response is not whole, and send the request again.
     */
    private static final Duration SUCCESS_MEMORY = Duration.ofSeconds(60);

    private final Set<String> unsuccessful = new HashSet<>();

    /** The time at which each response ended, earliest first. */
    private final Map<String, MonotonicTime> successful = new LinkedHashMap<>();

    /** Adds a request that was answered, unless its identifier is empty: nothing else is sent under that. */
    void add(String identifier, boolean isSuccess, MonotonicTime now) {
        forget(now);
        if (identifier.isEmpty()) {
            return;
        }
        if (isSuccess) {
            successful.remove(identifier);
            successful.put(identifier, now);
        } else {
            unsuccessful.add(identifier);
        }
    }

    private void forget(MonotonicTime now) {
        Iterator<MonotonicTime> ends = successful.values().iterator();
        while (ends.hasNext() && now.since(ends.next()).compareTo(SUCCESS_MEMORY) > 0) {
            ends.remove();
        }
    }

    boolean contains(String identifier) {
        return unsuccessful.contains(identifier) || successful.containsKey(identifier);
    }

    /** Returns whether the connection may carry further requests. */
    boolean hasRoom() {
        return unsuccessful.size() < MAXIMUM_UNSUCCESSFUL;
    }
}
