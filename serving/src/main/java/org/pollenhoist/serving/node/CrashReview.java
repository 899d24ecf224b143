package org.pollenhoist.serving.node;

import java.time.Duration;
import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.request.CrashQuarantine;
import org.pollenhoist.serving.upstream.UpstreamTable;

/**
 * Tells broken connections from crashes: the entry of an upstream that has crashed lapses, or names a later start.
 * Confined to the event loop.
 */
final class CrashReview {

    /** Heartbeats after whose absence the entry of an upstream lapses. */
    private static final int MISSED_HEARTBEATS = 3;

    /** Longest way of a lapsed entry from the store to this VM. */
    private static final Duration PROPAGATION = Duration.ofSeconds(3);

    private final CrashQuarantine quarantine;
    private final UpstreamTable upstreams;
    private final Duration visibleWithin;
    private Optional<MonotonicTime> knownSince = Optional.empty();

    CrashReview(CrashQuarantine quarantine, UpstreamTable upstreams, Duration heartbeat) {
        this.quarantine = quarantine;
        this.upstreams = upstreams;
        this.visibleWithin = heartbeat.multipliedBy(MISSED_HEARTBEATS).plus(PROPAGATION);
    }

    /**
     * Drops what was no crash.
     *
     * @param isStoreKnown whether this VM knows now what the store holds
     * @param now the present time
     */
    void tick(boolean isStoreKnown, MonotonicTime now) {
        if (!isStoreKnown) {
            knownSince = Optional.empty();
            return;
        }
        MonotonicTime since = knownSince.orElse(now);
        knownSince = Optional.of(since);
        if (now.since(since).compareTo(visibleWithin) >= 0) {
            quarantine.review(upstreams::contains, visibleWithin, now);
        }
    }
}
