package org.pollenhoist.serving.node;

import java.time.Duration;
import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.request.CrashQuarantine;
import org.pollenhoist.serving.upstream.UpstreamTable;

/**
 * Distinguishes crashes of upstreams from broken connections: after a crash, the upstream's store entry expires or is
 * replaced by one with a later start time. Confined to the event loop.
 */
final class CrashReview {

    /** Number of missed heartbeats after which an upstream's entry expires. */
    private static final int MISSED_HEARTBEATS = 3;

    /** Maximum time until the expiry of an entry is known on this VM. */
    private static final Duration MAX_PROPAGATION = Duration.ofSeconds(3);

    private final CrashQuarantine quarantine;
    private final UpstreamTable upstreams;
    private final Duration crashVisibleWithin;
    private Optional<MonotonicTime> storeKnownSince = Optional.empty();

    CrashReview(CrashQuarantine quarantine, UpstreamTable upstreams, Duration heartbeat) {
        this.quarantine = quarantine;
        this.upstreams = upstreams;
        this.crashVisibleWithin = heartbeat.multipliedBy(MISSED_HEARTBEATS).plus(MAX_PROPAGATION);
    }

    /**
     * Discards suspected crashes of upstreams that have kept running. Does so only after the store has been known for
     * long enough that the entries of crashed upstreams have expired.
     *
     * @param isStoreKnown whether this VM currently knows the contents of the store
     * @param now the current time
     */
    void tick(boolean isStoreKnown, MonotonicTime now) {
        if (!isStoreKnown) {
            storeKnownSince = Optional.empty();
            return;
        }
        MonotonicTime since = storeKnownSince.orElse(now);
        storeKnownSince = Optional.of(since);
        if (now.since(since).compareTo(crashVisibleWithin) >= 0) {
            quarantine.review(upstreams::contains, crashVisibleWithin, now);
        }
    }
}
