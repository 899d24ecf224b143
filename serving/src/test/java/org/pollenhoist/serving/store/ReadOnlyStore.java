package org.pollenhoist.serving.store;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;

/** A store for tests of what only reads. */
abstract class ReadOnlyStore implements Store {

    @Override
    public final void commit(
            List<Condition> conditions,
            List<Write> writes,
            List<String> removals,
            Consumer<StoreResult<StoreRevision>> callback) {
        throw new UnsupportedOperationException();
    }

    @Override
    public final void grantLease(Duration duration, Consumer<StoreResult<StoreLease>> callback) {
        throw new UnsupportedOperationException();
    }

    @Override
    public final void renewLease(StoreLease lease, Consumer<StoreResult<Duration>> callback) {
        throw new UnsupportedOperationException();
    }

    @Override
    public final void endLease(StoreLease lease) {
        throw new UnsupportedOperationException();
    }
}
