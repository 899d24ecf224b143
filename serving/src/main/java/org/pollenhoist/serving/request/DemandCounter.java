package org.pollenhoist.serving.request;

import java.util.HashMap;
import java.util.Map;

/** Counts what callers ask of models, since the start of this process. Confined to the event loop. */
public final class DemandCounter {

    /**
     * What was asked of a model.
     *
     * @param requests the requests
     * @param tokens their prompt and output tokens
     */
    public record Total(long requests, long tokens) {}

    private final Map<String, Total> totals = new HashMap<>();

    /**
     * Counts a request.
     *
     * @param model its model
     * @param tokens its prompt and output tokens
     */
    public void record(String model, long tokens) {
        totals.merge(
                model,
                new Total(1, tokens),
                (old, one) -> new Total(old.requests() + one.requests(), old.tokens() + one.tokens()));
    }

    /**
     * Returns the totals.
     *
     * @return a copy, by model
     */
    public Map<String, Total> totals() {
        return Map.copyOf(totals);
    }
}
