package org.pollenhoist.serving.node;

import java.time.Duration;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.pollenhoist.serving.store.Store;
import org.pollenhoist.serving.store.StoreLease;
import org.pollenhoist.serving.store.StorePage;
import org.pollenhoist.serving.store.StoreResult;
import org.pollenhoist.serving.store.StoreRevision;

/** The store as one VM of a simulation reaches it: reads take a moment, and time out while the VM is cut off. */
final class SimulatedStoreAccess implements Store {

    private static final long DELAY_MILLISECONDS = 4;
    private static final long TIMEOUT_MILLISECONDS = 1_000;

    private final Store store;
    private final BooleanSupplier isCutOff;
    private final BiConsumer<Long, Runnable> timer;

    SimulatedStoreAccess(Store store, BooleanSupplier isCutOff, BiConsumer<Long, Runnable> timer) {
        this.store = store;
        this.isCutOff = isCutOff;
        this.timer = timer;
    }

    @Override
    public void list(String prefix, String afterKey, Consumer<StoreResult<StorePage>> callback) {
        if (isCutOff.getAsBoolean()) {
            timer.accept(TIMEOUT_MILLISECONDS, () -> callback.accept(new StoreResult.Unavailable<>("cut off")));
        } else {
            store.list(prefix, afterKey, result -> timer.accept(DELAY_MILLISECONDS, () -> callback.accept(result)));
        }
    }

    @Override
    public void watch(
            String prefix, StoreRevision afterRevision, Duration wait, Consumer<StoreResult<StorePage>> callback) {
        store.watch(prefix, afterRevision, wait, callback);
    }

    @Override
    public void commit(
            List<Condition> conditions,
            List<Write> writes,
            List<String> removals,
            Consumer<StoreResult<StoreRevision>> callback) {
        if (isCutOff.getAsBoolean()) {
            timer.accept(TIMEOUT_MILLISECONDS, () -> callback.accept(new StoreResult.Unavailable<>("cut off")));
        } else {
            store.commit(conditions, writes, removals, callback);
        }
    }

    @Override
    public void grantLease(Duration duration, Consumer<StoreResult<StoreLease>> callback) {
        if (isCutOff.getAsBoolean()) {
            timer.accept(TIMEOUT_MILLISECONDS, () -> callback.accept(new StoreResult.Unavailable<>("cut off")));
        } else {
            store.grantLease(duration, callback);
        }
    }

    @Override
    public void renewLease(StoreLease lease, Consumer<StoreResult<Duration>> callback) {
        store.renewLease(lease, callback);
    }

    @Override
    public void endLease(StoreLease lease) {
        store.endLease(lease);
    }
}
