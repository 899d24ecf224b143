package org.pollenhoist.serving.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * How fast engines read prompts, by model, learned from the time to the first token. An engine reads the prompts of all
 * its requests one after another, so a request waits for those before it as well.
 */
public final class PrefillRateEstimator {

    /** Pace before any model was observed, in milliseconds a token; that of a large model on current engines. */
    static final double INITIAL_MILLISECONDS_PER_TOKEN = 0.05;

    /** Weight of a new observation; the last thirty or so decide. */
    private static final double NEW_WEIGHT = 0.05;

    /** Weight of an observation that is faster than all before, and of any other, in the unhindered pace. */
    private static final double FASTER_WEIGHT = 0.4;

    private static final double SLOWER_WEIGHT = 0.01;

    private static final double MICROSECONDS_PER_MILLISECOND = 1_000;

    /** Shorter queues are dominated by fixed costs and say little on the pace. */
    private static final long LEAST_TOKENS = 500;

    private final Map<String, Double> paceByModel = new HashMap<>();
    private final Map<String, Double> unhinderedByModel = new HashMap<>();
    private double paceOfAll = INITIAL_MILLISECONDS_PER_TOKEN;

    /**
     * Notes a first token.
     *
     * @param model the model
     * @param tokensAhead unread tokens at the engine when the request was sent, its own included
     * @param waited the time to the first token
     */
    public void observe(String model, long tokensAhead, Duration waited) {
        if (tokensAhead < LEAST_TOKENS) {
            return;
        }
        double observed = (double) waited.toMillis() / tokensAhead;
        paceOfAll += NEW_WEIGHT * (observed - paceOfAll);
        paceByModel.merge(model, observed, (old, fresh) -> old + NEW_WEIGHT * (fresh - old));
        // A first observation from a crowded engine must not make a model look many times slower than it is.
        double old = unhinderedByModel.getOrDefault(model, INITIAL_MILLISECONDS_PER_TOKEN);
        double weight = observed < old ? FASTER_WEIGHT : SLOWER_WEIGHT;
        unhinderedByModel.put(model, old + weight * (observed - old));
    }

    /**
     * Estimates how long an engine is busy with tokens, without the time in which it was busy with other requests.
     *
     * @param model the model
     * @param tokens the tokens
     * @return the time in microseconds
     */
    public long uncontendedMicroseconds(String model, long tokens) {
        double pace = unhinderedByModel.getOrDefault(model, INITIAL_MILLISECONDS_PER_TOKEN);
        return Math.round(pace * tokens * MICROSECONDS_PER_MILLISECOND);
    }

    /**
     * Estimates how long an engine reads. A model that was not observed yet is taken to be as fast as the others.
     *
     * @param model the model
     * @param tokens the tokens to read
     * @return the time
     */
    public Duration estimate(String model, long tokens) {
        double pace = paceByModel.getOrDefault(model, paceOfAll);
        return Duration.ofMillis(Math.round(pace * Math.max(0, tokens)));
    }
}
