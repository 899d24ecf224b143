package org.pollenhoist.serving.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates, for each model, the prefill time per prompt token from the observed time to first token. An engine
 * processes the prompts of its requests one after another, so a request also waits for the prompts ahead of it.
 */
public final class PrefillRateEstimator {

    /** Prefill time per token before the first observation; typical of a large model on current engines. */
    static final double INITIAL_MILLISECONDS_PER_TOKEN = 0.05;

    /** Weight of a new observation in the moving average; about the last thirty observations dominate it. */
    private static final double SMOOTHING_FACTOR = 0.05;

    /** Weight, in the uncontended estimate, of an observation that is faster than the current estimate. */
    private static final double FASTER_OBSERVATION_WEIGHT = 0.4;

    /** Weight, in the uncontended estimate, of an observation that is not faster than the current estimate. */
    private static final double SLOWER_OBSERVATION_WEIGHT = 0.01;

    private static final double MICROSECONDS_PER_MILLISECOND = 1_000;

    /** Observations of shorter queues are ignored: fixed costs dominate their time to first token. */
    private static final long MINIMUM_TOKENS = 500;

    private final Map<String, Double> millisecondsPerTokenByModel = new HashMap<>();
    private final Map<String, Double> uncontendedByModel = new HashMap<>();
    private double averageMillisecondsPerToken = INITIAL_MILLISECONDS_PER_TOKEN;

    /**
     * Records the time to first token of a request.
     *
     * @param model the model
     * @param tokensAhead tokens awaiting prefill at the engine when the request was sent, including its own prompt
     * @param waited the time to first token
     */
    public void observe(String model, long tokensAhead, Duration waited) {
        if (tokensAhead < MINIMUM_TOKENS) {
            return;
        }
        double observed = (double) waited.toMillis() / tokensAhead;
        averageMillisecondsPerToken += SMOOTHING_FACTOR * (observed - averageMillisecondsPerToken);
        millisecondsPerTokenByModel.merge(model, observed, (old, latest) -> old + SMOOTHING_FACTOR * (latest - old));
        // The estimate starts from the initial value: a first observation from a busy engine must not make the model
        // appear many times slower than it is.
        double old = uncontendedByModel.getOrDefault(model, INITIAL_MILLISECONDS_PER_TOKEN);
        double weight = observed < old ? FASTER_OBSERVATION_WEIGHT : SLOWER_OBSERVATION_WEIGHT;
        uncontendedByModel.put(model, old + weight * (observed - old));
    }

    /**
     * Estimates the prefill time of a prompt on an otherwise idle engine. It is learned mainly from the fastest
     * observations, so that time which an engine spent on other requests is left out.
     *
     * @param model the model
     * @param tokens the number of prompt tokens
     * @return the prefill time in microseconds
     */
    public long uncontendedMicroseconds(String model, long tokens) {
        double millisecondsPerToken = uncontendedByModel.getOrDefault(model, INITIAL_MILLISECONDS_PER_TOKEN);
        return Math.round(millisecondsPerToken * tokens * MICROSECONDS_PER_MILLISECOND);
    }

    /**
     * Estimates the prefill time of a number of tokens. For a model without observations, the average over all models
     * is used.
     *
     * @param model the model
     * @param tokens the number of tokens awaiting prefill
     * @return the prefill time
     */
    public Duration estimate(String model, long tokens) {
        double millisecondsPerToken = millisecondsPerTokenByModel.getOrDefault(model, averageMillisecondsPerToken);
        return Duration.ofMillis(Math.round(millisecondsPerToken * Math.max(0, tokens)));
    }
}
