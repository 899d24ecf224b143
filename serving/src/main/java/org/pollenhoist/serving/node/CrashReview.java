package org.pollenhoist.serving.node;

import java.time.Duration;
import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.request.CrashQuarantine;
import org.pollenhoist.request.UpstreamLifetime;
import org.pollenhoist.serving.segment.SegmentQuarantine;
import org.pollenhoist.serving.upstream.UpstreamTable;

/**
 * Distinguishes crashes of upstreams from broken connections: after a crash, the upstream's store entry expires or is
 * replaced by one with a later start time, and until then it sends nothing. Confined to the event loop.
 */
final class CrashReview {

    /** Number of missed heartbeats after which an upstream's entry expires. */
    private static final int MISSED_HEARTBEATS = 3;

    /** Maximum time until the expiry of an entry is known on this VM. */
    private static final Duration MAX_PROPAGATION = Duration.ofSeconds(3);

    /** Time after a crash until which data that the upstream sent before may still arrive. */
    private static final Duration MAX_DATA_DELAY = Duration.ofMillis(100);

    /** Time after a crash in which the upstream can't have restarted, so that data comes from the same lifetime. */
    private static final Duration MIN_RESTART_TIME = Duration.ofSeconds(1);

    private final CrashQuarantine quarantine;
    private final SegmentQuarantine segments;
    private final UpstreamTable upstreams;
    private final Duration crashVisibleWithin;
    private Optional<MonotonicTime> storeKnownSince = Optional.empty();

    CrashReview(CrashQuarantine quarantine, SegmentQuarantine segments, UpstreamTable upstreams, Duration heartbeat) {
        this.quarantine = quarantine;
        this.segments = segments;
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
        storeKnownSince = isStoreKnown ? Optional.of(storeKnownSince.orElse(now)) : Optional.empty();
        boolean haveEntriesExpired = storeKnownSince
                .filter(since -> now.since(since).compareTo(crashVisibleWithin) >= 0)
                .isPresent();
        if (haveEntriesExpired) {
            quarantine.review(upstreams::contains, crashVisibleWithin, now);
        }
        segments.review(
                (lifetime, endedAt) -> hasSentDataSince(lifetime, endedAt)
                        || (haveEntriesExpired
                                && upstreams.contains(lifetime)
                                && now.since(endedAt).compareTo(crashVisibleWithin) >= 0),
                now);
    }

    private boolean hasSentDataSince(UpstreamLifetime lifetime, MonotonicTime endedAt) {
        return upstreams.contains(lifetime)
                && upstreams
                        .find(lifetime.upstream().value())
                        .filter(upstream -> upstream.hasLastRespondedBetween(
                                endedAt.plus(MAX_DATA_DELAY), endedAt.plus(MIN_RESTART_TIME)))
                        .isPresent();
    }
}
