package org.pollenhoist.serving.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;

/** The upstreams at which attempts of one request failed, and whether the request may be sent to them again. */
final class TriedUpstreams {

    private final Map<String, MonotonicTime> excludedUntil = new HashMap<>();
    private final Set<String> quarantineExclusions = new HashSet<>();
    private final Set<String> failed = new HashSet<>();

    /** Excludes an upstream that did not accept the request and is unlikely to accept it before the given time. */
    void excludeUntil(String identifier, MonotonicTime until) {
        excludedUntil.put(identifier, until);
    }

    /** Excludes an upstream that the request is suspected of having crashed. */
    void excludeForQuarantine(String identifier) {
        quarantineExclusions.add(identifier);
    }

    /** Marks an upstream at which the request failed. It is used again only if there is no other. */
    void markFailed(String identifier) {
        failed.add(identifier);
    }

    /** Returns whether an upstream is excluded for a limited time, so that it may accept the request soon. */
    boolean hasTemporaryExclusion(MonotonicTime now) {
        return excludedUntil.values().stream().anyMatch(now::isBefore);
    }

    /** Returns the upstreams that the request must not be sent to now. */
    Set<String> excluded(MonotonicTime now) {
        Set<String> excluded = new HashSet<>(quarantineExclusions);
        excludedUntil.forEach((identifier, until) -> {
            if (now.isBefore(until)) {
                excluded.add(identifier);
            }
        });
        return excluded;
    }

    /** Returns the upstreams that the request is sent to only if there is no other. */
    Set<String> avoided() {
        return failed;
    }
}
