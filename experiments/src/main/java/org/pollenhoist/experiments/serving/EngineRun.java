package org.pollenhoist.experiments.serving;

import java.util.List;
import org.pollenhoist.serving.request.PromptSegment;

/** One request at a simulated engine. Times in milliseconds. */
final class EngineRun {

    /** What the engine tells the one who sent the request. */
    interface Listener {

        /** A token was made. */
        void onToken(boolean isFirst);

        /** All tokens were made. */
        void onComplete();

        /** The engine does not hold the model or adapter, or is full, and did not run the request. */
        void onRejected();

        /** Nothing listens at the engine's address. */
        void onUnreachable();

        /** The engine has gone, whatever it was doing. */
        void onBroken();
    }

    final String model;
    final String adapter;
    final List<PromptSegment> parts;
    final long promptTokens;
    final long outputTokens;
    final int priority;
    final long sentAt;
    final Listener listener;
    long unreadTokens;
    long madeTokens;
    boolean isCancelled;

    EngineRun(
            String model,
            String adapter,
            List<PromptSegment> parts,
            long promptTokens,
            long outputTokens,
            int priority,
            long sentAt,
            Listener listener) {
        this.model = model;
        this.adapter = adapter;
        this.parts = parts;
        this.promptTokens = promptTokens;
        this.outputTokens = outputTokens;
        this.priority = priority;
        this.sentAt = sentAt;
        this.listener = listener;
        this.unreadTokens = promptTokens;
    }

    long totalTokens() {
        return promptTokens + outputTokens;
    }
}
