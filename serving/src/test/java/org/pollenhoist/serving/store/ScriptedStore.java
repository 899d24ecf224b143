package org.pollenhoist.serving.store;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.function.Consumer;

/** Holds the callbacks of calls until the test completes them. */
final class ScriptedStore implements Store {

    final Deque<String> calls = new ArrayDeque<>();
    final Deque<Consumer<StoreResult<StorePage>>> pendingCallbacks = new ConcurrentLinkedDeque<>();

    void complete(StoreResult<StorePage> result) {
        pendingCallbacks.removeFirst().accept(result);
    }

    @Override
    public void list(String prefix, String afterKey, Consumer<StoreResult<StorePage>> callback) {
        calls.add("list " + afterKey);
        pendingCallbacks.add(callback);
    }

    @Override
    public void watch(
            String prefix, StoreRevision afterRevision, Duration wait, Consumer<StoreResult<StorePage>> callback) {
        calls.add("watch " + afterRevision);
        pendingCallbacks.add(callback);
    }

    @Override
    public void commit(
            List<Condition> conditions,
            List<Write> writes,
            List<String> removals,
            Consumer<StoreResult<StoreRevision>> callback) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void grantLease(Duration duration, Consumer<StoreResult<StoreLease>> callback) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void renewLease(StoreLease lease, Consumer<StoreResult<Duration>> callback) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void endLease(StoreLease lease) {
        throw new UnsupportedOperationException();
    }
}
