package org.pollenhoist.serving.node;

import java.time.Duration;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.store.ChangeBatchingDelay;
import org.pollenhoist.serving.store.StoreMirror;

/**
 * Keeps what this VM knows of the store up to date: by following it where this VM has to, else by what peers tell.
 * Confined to the event loop.
 */
final class StoreFollowing {

    private final StoreMirror mirror;
    private final StoreRelayExchange relay;
    private final DigestExchange digests;
    private long toldRevision;
    private boolean isFollowing = true;

    StoreFollowing(StoreMirror mirror, StoreRelayExchange relay, DigestExchange digests) {
        this.mirror = mirror;
        this.relay = relay;
        this.digests = digests;
    }

    void tick(MonotonicTime now) {
        isFollowing = digests.mustFollowStore(now) || relay.isLagging(now);
        mirror.setFollowing(isFollowing);
        relay.tick(isFollowing, now);
        if (mirror.revision() != toldRevision) {
            toldRevision = mirror.revision();
            if (isFollowing) {
                digests.announceStoreRevision();
            }
        }
    }

    /** Whether this VM knows now what the store holds, by itself or from peers of its failure domain that do. */
    boolean isCurrent(MonotonicTime now) {
        return !isFollowing || mirror.isCurrent(now);
    }

    /** How long changes may gather in the store before this VM asks for them. */
    Duration gatheringPause(Duration bound) {
        return ChangeBatchingDelay.of(digests.storeFollowers(), bound);
    }
}
