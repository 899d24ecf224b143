package org.pollenhoist.serving.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * How fast engines read prompts, by model, learned from the time to the first token. An engine reads the prompts of all
 * its requests one after another, so a request waits for those before it as well.
 */
public final class ReadingPace {

    /** Pace of a model that was not observed yet, in milliseconds a token; that of a large model on current engines. */
    static final double INITIAL_MILLISECONDS_PER_TOKEN = 0.05;

    /** Weight of a new observation; the last thirty or so decide. */
    private static final double NEW_WEIGHT = 0.05;

    /** Shorter queues are dominated by fixed costs and say little on the pace. */
    private static final long LEAST_TOKENS = 500;

    private final Map<String, Double> paceByModel = new HashMap<>();

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
        paceByModel.merge(model, observed, (old, fresh) -> old + NEW_WEIGHT * (fresh - old));
    }

    /**
     * Estimates how long an engine reads.
     *
     * @param model the model
     * @param tokens the tokens to read
     * @return the time
     */
    public Duration estimate(String model, long tokens) {
        double pace = paceByModel.getOrDefault(model, INITIAL_MILLISECONDS_PER_TOKEN);
        return Duration.ofMillis(Math.round(pace * Math.max(0, tokens)));
    }
}
