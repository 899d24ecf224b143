package org.pollenhoist.serving.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.pollenhoist.serving.store.Store;
import org.pollenhoist.serving.store.StoreLease;
import org.pollenhoist.serving.store.StorePage;
import org.pollenhoist.serving.store.StoreResult;
import org.pollenhoist.serving.store.StoreRevision;

/** Responds to each call at once. */
final class FakeClaimStore implements Store {

    final List<String> calls = new ArrayList<>();
    byte[] written = {};
    long lastLease;
    Runnable whileGranting = () -> {};
    StoreResult<StoreRevision> claim = granted(7);

    /** The revision of the next write; 0 if each write has the result {@link #claim}. */
    long nextRevision;

    StoreResult<Duration> renewal = new StoreResult.Success<>(Duration.ofSeconds(3));

    @Override
    public void list(String prefix, String afterKey, Consumer<StoreResult<StorePage>> response) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void watch(
            String prefix, StoreRevision afterRevision, Duration wait, Consumer<StoreResult<StorePage>> response) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void commit(
            List<Condition> conditions,
            List<Write> writes,
            List<String> removals,
            Consumer<StoreResult<StoreRevision>> response) {
        calls.add("commit " + conditions.get(0).revision());
        written = writes.get(0).value();
        response.accept(nextRevision == 0 ? claim : granted(nextRevision++));
    }

    @Override
    public void grantLease(Duration duration, Consumer<StoreResult<StoreLease>> response) {
        calls.add("grant");
        whileGranting.run();
        response.accept(new StoreResult.Success<>(new StoreLease(0, ++lastLease)));
    }

    @Override
    public void renewLease(StoreLease lease, Consumer<StoreResult<Duration>> response) {
        calls.add("renew");
        response.accept(renewal);
    }

    @Override
    public void endLease(StoreLease lease) {
        calls.add("end");
    }

    static StoreResult<StoreRevision> granted(long revision) {
        return new StoreResult.Success<>(StoreRevision.withoutEra(revision));
    }
}
