package org.pollenhoist.standins.engine;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.pollenhoist.standins.engine.EngineModel.Submission;
import org.pollenhoist.standins.engine.EngineModel.Token;

/** Drives an engine's model by the clock and hands out its tokens. One lock guards the model and the listeners. */
final class EngineRuns {

    private final long originNanoseconds = System.nanoTime();
    private final EngineModel model;
    private final Map<String, Consumer<Token>> listeners = new HashMap<>();
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor(
            task -> Thread.ofPlatform().daemon().name("engine").unstarted(task));

    EngineRuns(EngineModel model) {
        this.model = model;
    }

    /** Begins a sequence; the listener is called under the lock and must not block. */
    synchronized void submit(Submission submission, Consumer<Token> listener) {
        listeners.put(submission.identifier(), listener);
        model.submit(submission, now());
        advance();
    }

    synchronized void cancel(String identifier) {
        if (listeners.remove(identifier) != null) {
            model.cancel(identifier, now());
        }
    }

    /** Asks the model something at the present time. */
    synchronized <T> T ask(Function<Moment, T> question) {
        advance();
        T answer = question.apply(new Moment(model, now()));
        advance();
        return answer;
    }

    private synchronized void advance() {
        List<Token> tokens = model.advance(now());
        for (Token token : tokens) {
            Consumer<Token> listener =
                    token.isLast() ? listeners.remove(token.identifier()) : listeners.get(token.identifier());
            if (listener != null) {
                listener.accept(token);
            }
        }
        Optional<Duration> next = model.nextChange();
        if (next.isPresent()) {
            long waitNanoseconds = Math.max(0, next.get().minus(now()).toNanos());
            scheduler.schedule(this::advance, waitNanoseconds, TimeUnit.NANOSECONDS);
        }
    }

    private Duration now() {
        return Duration.ofNanos(System.nanoTime() - originNanoseconds);
    }

    /**
     * The model at a time.
     *
     * @param model the model
     * @param now the time
     */
    record Moment(EngineModel model, Duration now) {}
}
