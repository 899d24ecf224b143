package org.pollenhoist.experiments.serving;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.experiments.simulation.EventQueue;
import org.pollenhoist.serving.placement.Leadership;
import org.pollenhoist.serving.store.Store;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StoreLease;
import org.pollenhoist.serving.store.StorePage;
import org.pollenhoist.serving.store.StoreResult;
import org.pollenhoist.serving.store.StoreRevision;

/** A store that grants the one lease it is asked for, at once and for ever. */
final class GrantingStore implements Store {

    private static final long RENEWAL_INTERVAL = 500;
    private static final StoreRevision CLAIM_REVISION = StoreRevision.withoutEra(7);

    private byte[] claim = {};

    /** Makes a candidate the holder and keeps it so. */
    void lead(Leadership leadership, Supplier<MonotonicTime> now, EventQueue time) {
        leadership.tick(true, now.get());
        leadership.onRecord(Optional.of(new StoreItem("leader", claim, CLAIM_REVISION, false)), now.get());
        time.after(RENEWAL_INTERVAL, () -> lead(leadership, now, time));
    }

    @Override
    public void commit(
            List<Condition> conditions,
            List<Write> writes,
            List<String> removals,
            Consumer<StoreResult<StoreRevision>> answer) {
        claim = writes.get(0).value();
        answer.accept(new StoreResult.Success<>(CLAIM_REVISION));
    }

    @Override
    public void grantLease(Duration duration, Consumer<StoreResult<StoreLease>> answer) {
        answer.accept(new StoreResult.Success<>(new StoreLease(0, 1)));
    }

    @Override
    public void renewLease(StoreLease lease, Consumer<StoreResult<Duration>> answer) {
        answer.accept(new StoreResult.Success<>(Duration.ofSeconds(3)));
    }

    @Override
    public void endLease(StoreLease lease) {
        throw new UnsupportedOperationException("the only holder never ends its lease");
    }

    @Override
    public void list(String prefix, String afterKey, Consumer<StoreResult<StorePage>> answer) {
        throw new UnsupportedOperationException("nothing is listed");
    }

    @Override
    public void watch(
            String prefix, StoreRevision afterRevision, Duration wait, Consumer<StoreResult<StorePage>> answer) {
        throw new UnsupportedOperationException("nothing is watched");
    }
}
