package org.pollenhoist.serving.store;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.function.Consumer;

/** Holds the callbacks of calls until the test completes them. */
final class ScriptedStore extends ReadOnlyStore {

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
}
