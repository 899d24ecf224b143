package org.pollenhoist.serving.upstream;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.SequencedMap;
import java.util.function.Predicate;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.request.UpstreamLifetime;

/**
 * The upstreams whose entries in the store say that they leave, or were removed lately. Peers that haven't got this
 * news from the store are told of the newest ones. Confined to the event loop.
 */
final class RecentDepartures {

    /**
     * How long a removal is news. An upstream serves for 2 s and some seconds more after its entry says that it leaves
     * or is gone; a request that is sent to it later finds nobody.
     */
    static final Duration REMOVAL_IS_NEWS = Duration.ofSeconds(10);

    /**
     * Number of upstreams that are told at a time: a fifth of 60 engines that a release replaces at once. They take
     * some 25 bytes each in up to 48 digests a second, which stays below the 16 KB/s that a VM may use for control.
     */
    static final int MAXIMUM_TOLD = 12;

    /** In the order of their last change; with the time of the removal, empty for those that are registered. */
    private final SequencedMap<UpstreamLifetime, Optional<MonotonicTime>> departures = new LinkedHashMap<>();

    /** Records that the entry of a registered upstream says that it leaves. */
    void recordLeaving(UpstreamLifetime lifetime) {
        departures.remove(lifetime);
        departures.put(lifetime, Optional.empty());
    }

    /** Records that the entry of an upstream was removed. */
    void recordRemoval(UpstreamLifetime lifetime, MonotonicTime now) {
        departures.remove(lifetime);
        departures.put(lifetime, Optional.of(now));
    }

    /** Drops what was recorded of an upstream whose entry was written again. */
    void forget(UpstreamLifetime lifetime) {
        departures.remove(lifetime);
    }

    /**
     * Returns the newest departures.
     *
     * @param isTold tells which ones peers need to be told of
     * @param now the current time
     * @return at most {@link #MAXIMUM_TOLD}, the newest one first
     */
    List<UpstreamLifetime> newest(Predicate<UpstreamLifetime> isTold, MonotonicTime now) {
        departures
                .values()
                .removeIf(removedAt -> removedAt
                        .filter(at -> now.since(at).compareTo(REMOVAL_IS_NEWS) >= 0)
                        .isPresent());
        return departures.sequencedKeySet().reversed().stream()
                .filter(isTold)
                .limit(MAXIMUM_TOLD)
                .toList();
    }
}
