package org.pollenhoist.serving.node;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** A call that ends with its whole response, or when its sender has waited for too long. */
final class SimulatedCall<R> {

    /** How many bytes a period has to bring for a response not to be given up. */
    private static final long PROGRESS_BYTES = 8 << 10;

    private final Consumer<R> callback;
    private Optional<SimulatedTransfer> response = Optional.empty();
    private boolean isComplete;

    SimulatedCall(Consumer<R> callback) {
        this.callback = callback;
    }

    /** Gives the call up if its response isn't whole within a time. */
    void giveUpAfter(Duration timeout, BiConsumer<Long, Runnable> timer, R failure) {
        timer.accept(timeout.toMillis(), () -> complete(failure));
    }

    /** Gives the call up if its response hasn't begun within a time, or if it makes no progress from then on. */
    void giveUpWithoutProgress(Duration beginning, Duration progress, BiConsumer<Long, Runnable> timer, R failure) {
        timer.accept(beginning.toMillis(), () -> {
            if (receivedBytes() == 0) {
                complete(failure);
            } else {
                expectProgress(progress, timer, failure);
            }
        });
    }

    private void expectProgress(Duration period, BiConsumer<Long, Runnable> timer, R failure) {
        long before = receivedBytes();
        timer.accept(period.toMillis(), () -> {
            if (receivedBytes() - before < PROGRESS_BYTES) {
                complete(failure);
            } else {
                expectProgress(period, timer, failure);
            }
        });
    }

    void receives(SimulatedTransfer transfer) {
        if (!isComplete) {
            response = Optional.of(transfer);
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
