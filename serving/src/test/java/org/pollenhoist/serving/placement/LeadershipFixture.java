package org.pollenhoist.serving.placement;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StoreRevision;

/** Candidates at a store that responds at once, and the claims that they see there. */
abstract class LeadershipFixture {

    static final Duration HANDOVER_INTERVAL = Duration.ofSeconds(3);
    static final MonotonicTime START = MonotonicTime.of(Duration.ofSeconds(100));

    final FakeClaimStore store = new FakeClaimStore();

    Leadership candidate(boolean isFirstStart) {
        return new Leadership(store, "leader", "own", HANDOVER_INTERVAL, isFirstStart, START);
    }

    static MonotonicTime after(long milliseconds) {
        return START.plus(Duration.ofMillis(milliseconds));
    }

    static Optional<StoreItem> claimOfOther(long revision) {
        return Optional.of(new StoreItem(
                "leader", "other 5".getBytes(StandardCharsets.UTF_8), StoreRevision.withoutEra(revision), false));
    }

    Optional<StoreItem> ownClaim(long revision) {
        return Optional.of(new StoreItem("leader", store.written, StoreRevision.withoutEra(revision), false));
    }

    /** Returns a leader that may send orders from the start on. */
    Leadership readyLeader() {
        Leadership leadership = candidate(true);
        leadership.tick(true, START);
        leadership.onRecord(ownClaim(7), START);
        return leadership;
    }
}
