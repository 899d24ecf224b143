package org.pollenhoist.serving.node;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.pollenhoist.serving.http.ResponseTimeout;

/** A call that ends with its whole response, or when its sender has waited for too long. */
final class SimulatedCall<R> {

    private final Consumer<R> callback;
    private Optional<SimulatedTransfer> response = Optional.empty();
    private Runnable begun = () -> {};
    private boolean isComplete;

    SimulatedCall(Consumer<R> callback) {
        this.callback = callback;
    }

    /** Gives the call up if its response hasn't begun in time, or if it makes no progress from then on. */
    void giveUpWithoutProgress(ResponseTimeout timeout, BiConsumer<Long, Runnable> timer, R failure) {
        begun = () -> awaitProgress(timeout.progress(), timer, failure);
        timer.accept(timeout.beginning().toMillis(), () -> {
            if (receivedBytes() == 0) {
                complete(failure);
            }
        });
    }

    private void awaitProgress(Duration period, BiConsumer<Long, Runnable> timer, R failure) {
        long before = receivedBytes();
        timer.accept(period.toMillis(), () -> {
            if (receivedBytes() - before < ResponseTimeout.MINIMUM_BYTES) {
                complete(failure);
            } else {
                awaitProgress(period, timer, failure);
            }
        });
    }

    /** Sets the transfer that brings the response. */
    void receives(SimulatedTransfer transfer) {
        if (!isComplete) {
            response = Optional.of(transfer);
            transfer.whenBegun(begun);
        }
    }

    private long receivedBytes() {
        return response.map(SimulatedTransfer::receivedBytes).orElse(0L);
    }

    boolean isComplete() {
        return isComplete;
    }

    /** Ends the call unless it has ended. */
    void complete(R result) {
        if (!isComplete) {
            isComplete = true;
            response = Optional.empty();
            callback.accept(result);
        }
    }
}
