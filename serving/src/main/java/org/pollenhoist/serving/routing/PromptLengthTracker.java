package org.pollenhoist.serving.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Moving average of the prompt length for each kind of request. Confined to the event loop.
 *
 * <p>The mean is used for admission when engines are overloaded and prompts of one kind vary widely in length. If each
 * request were admitted by its own length, short prompts would fill the engines until no long prompt could meet its
 * latency objective. Admission by the mean length of the kind gives prompts of all lengths the same chance.
 */
public final class PromptLengthTracker {

    /** Weight of a new observation in the moving average; about the last thirty observations dominate it. */
    private static final double SMOOTHING_FACTOR = 0.05;

    private final Map<String, Double> meanByKind = new HashMap<>();

    /**
     * Adds the length of a prompt to the moving average of its kind.
     *
     * @param kind the kind of request
     * @param tokens the length of the prompt in tokens
     */
    public void observe(String kind, long tokens) {
        meanByKind.merge(kind, (double) tokens, (mean, length) -> mean + SMOOTHING_FACTOR * (length - mean));
    }

    /**
     * Returns the moving average of the prompt length for a kind of request.
     *
     * @param kind the kind of request
     * @return the length in tokens; 0 if no prompt of this kind has been observed
     */
    public long mean(String kind) {
        return Math.round(meanByKind.getOrDefault(kind, 0.0));
    }
}
