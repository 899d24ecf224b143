package org.pollenhoist.serving.node;

import java.time.Duration;
import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.store.StoreRevision;

/**
 * Decides whether this VM trails: whether it lacks a revision of the store that it has heard of for a while. Since the
 * store changes all the time, a VM is usually behind by what it has heard of in the last moments, which is no lag.
 */
final class StoreLag {

    /** How long a VM may lack a revision that it has heard of. Usually a change is relayed within 150 ms. */
    static final Duration TRAILING_DELAY = Duration.ofMillis(500);

    /** How long a VM has to keep up again until it no longer trails. */
    static final Duration SETTLING_TIME = Duration.ofSeconds(1);

    /**
     * Time after which a revision that nobody has named again is disregarded if the store names no era: the store may
     * have come back from an older copy.
     */
    static final Duration LAPSE_WITHOUT_ERA = Duration.ofSeconds(10);

    /**
     * A revision that this VM has heard of.
     *
     * @param revision the revision
     * @param source who named it last
     * @param firstHeardAt when it was first heard of
     * @param heardAt when it was last named
     */
    record Sighting(StoreRevision revision, String source, MonotonicTime firstHeardAt, MonotonicTime heardAt) {}

    private final Episode episode = new Episode(TRAILING_DELAY, SETTLING_TIME);
    private Optional<Sighting> newest = Optional.empty();
    private Optional<Sighting> awaited = Optional.empty();

    /**
     * Records that a peer or the store has named a revision.
     *
     * @param revision the revision
     * @param source who named it
     * @param heardAt when it was named
     */
    void hear(StoreRevision revision, String source, MonotonicTime heardAt) {
        if (newest.isEmpty() || revision.isAfter(newest.get().revision())) {
            newest = Optional.of(new Sighting(revision, source, heardAt, heardAt));
        } else if (revision.equals(newest.get().revision())
                && newest.get().heardAt().isBefore(heardAt)) {
            newest = newest.map(known -> new Sighting(revision, source, known.firstHeardAt(), heardAt));
        }
    }

    /**
     * Decides whether this VM begins to trail or has caught up.
     *
     * @param own the revision up to which this VM knows the store
     * @param now the current time
     * @return the change, empty if it goes on as before
     */
    Optional<Episode.Change> update(StoreRevision own, MonotonicTime now) {
        newest = newest.filter(sighting -> !hasLapsed(sighting, now));
        awaited = awaited.filter(sighting -> newest.isPresent() && isAfter(sighting, own));
        if (awaited.isEmpty()) {
            awaited = newest.filter(sighting -> isAfter(sighting, own));
        }
        return episode.update(behindSince(), now);
    }

    private static boolean isAfter(Sighting sighting, StoreRevision own) {
        return sighting.revision().isAfter(own);
    }

    private static boolean hasLapsed(Sighting sighting, MonotonicTime now) {
        return sighting.revision().era() == 0 && now.since(sighting.heardAt()).compareTo(LAPSE_WITHOUT_ERA) >= 0;
    }

    /** Returns when this VM heard of the earliest revision that it is known to lack, empty if it lacks none. */
    Optional<MonotonicTime> behindSince() {
        return awaited.map(Sighting::firstHeardAt);
    }

    /** Returns the newest revision that this VM has heard of from others. */
    Optional<Sighting> newest() {
        return newest;
    }
}
