package org.pollenhoist.serving.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * What a caller says of its request beside method, path and body.
 *
 * @param identifier the caller's identifier of this try; empty where it sent none
 * @param key the key that it presented
 * @param timeBudget how long the caller waits from now
 * @param model the model, empty where none is asked for
 * @param adapter the adapter of the model, empty for none
 * @param promptTokens length of the prompt
 * @param maximumOutputTokens the most tokens that may be generated
 * @param isTokenCountGiven whether the caller gave both counts
 * @param promptSegments the parts of the prompt in order
 * @param lastEventIdentifier the last event of an earlier stream after which the caller wants to go on
 */
public record CallerRequest(
        String identifier,
        Optional<String> key,
        Optional<Duration> timeBudget,
        String model,
        String adapter,
        long promptTokens,
        long maximumOutputTokens,
        boolean isTokenCountGiven,
        List<PromptSegment> promptSegments,
        Optional<Long> lastEventIdentifier) {

    /** Copies the parts. */
    public CallerRequest {
        promptSegments = List.copyOf(promptSegments);
    }

    /**
     * Returns the size of the request at an engine.
     *
     * @return prompt and output tokens
     */
    public long totalTokens() {
        return promptTokens + maximumOutputTokens;
    }
}
