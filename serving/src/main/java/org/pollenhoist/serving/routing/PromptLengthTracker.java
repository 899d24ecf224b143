package org.pollenhoist.serving.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * How long the prompts of each kind of request are, learned from those that come. Confined to the event loop.
 *
 * <p>Answers loads beyond what engines read in which prompts of one kind differ much in length: where each request is
 * admitted by its own length, short ones fill the engines up to where no long one is in time any more. Admission by the
 * mean length of its kind gives all lengths the same chance.
 */
public final class PromptLengthTracker {

    /** Weight of a new observation; the last thirty or so decide. */
    private static final double NEW_WEIGHT = 0.05;

    private final Map<String, Double> meanByKind = new HashMap<>();

    /**
     * Notes a prompt.
     *
     * @param kind the kind of request
     * @param tokens the prompt's length
     */
    public void observe(String kind, long tokens) {
        meanByKind.merge(kind, (double) tokens, (mean, length) -> mean + NEW_WEIGHT * (length - mean));
    }

    /**
     * Returns the mean length.
     *
     * @param kind the kind of request
     * @return tokens, 0 where none has come yet
     */
    public long mean(String kind) {
        return Math.round(meanByKind.getOrDefault(kind, 0.0));
    }
}
