package org.pollenhoist.serving.node;

import java.time.Duration;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.store.ChangeBatchingDelay;
import org.pollenhoist.serving.store.StoreMirror;
import org.pollenhoist.serving.store.StoreRevision;

/**
 * Keeps this VM's copy of the store up to date: by watching the store if this VM has to, otherwise through relays from
 * peers. Confined to the event loop.
 */
final class StoreSynchronizer {

    private final StoreMirror mirror;
    private final StoreRelayExchange relay;
    private final DigestExchange digests;
    private final StandstillDetector standstill;
    private final StoreStanding standing;
    private StoreRevision announcedRevision = StoreRevision.NONE;
    private boolean isFollowing = true;

    StoreSynchronizer(
            StoreMirror mirror,
            StoreRelayExchange relay,
            DigestExchange digests,
            StoreStanding standing,
            MonotonicTime now) {
        this.standstill = new StandstillDetector(now);
        this.mirror = mirror;
        this.relay = relay;
        this.digests = digests;
        this.standing = standing;
    }

    void tick(MonotonicTime now) {
        standstill.tick(now);
        isFollowing = digests.mustFollowStore(now) || relay.isLagging(now) || relay.hasPeersWithoutEra(now);
        mirror.setFollowing(isFollowing);
        relay.tick(isFollowing, now);
        standing.update(isFollowing, now);
        if (!mirror.revision().equals(announcedRevision)) {
            announcedRevision = mirror.revision();
            if (isFollowing) {
                digests.announceStoreRevision();
            }
        }
    }

    /**
     * Returns whether this VM currently knows the contents of the store, either itself or through peers of its failure
     * domain that watch it.
     */
    boolean isCurrent(MonotonicTime now) {
        return isFollowing ? mirror.isCurrent(now) : standstill.isSettled(now);
    }

    /** Returns how long changes may be batched in the store before this VM requests them. */
    Duration batchingDelay(Duration bound) {
        return ChangeBatchingDelay.of(digests.countStoreFollowers(), bound);
    }
}
