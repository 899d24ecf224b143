package org.pollenhoist.serving.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * What a caller states about its request in addition to method, path and body.
 *
 * @param identifier the caller's identifier of this attempt, empty if it sent none
 * @param key the key that the caller presented
 * @param timeBudget how long the caller waits, counted from the arrival of the request
 * @param model the model, empty if the request needs none
 * @param adapter the adapter of the model, empty if the request needs none
 * @param promptTokens the length of the prompt in tokens
 * @param maximumOutputTokens the maximum number of tokens to generate
 * @param isTokenCountGiven whether the caller sent both counts; otherwise they are 0
 * @param promptSegments the segments of the prompt in order
 * @param lastEventIdentifier the last event that the caller received of an earlier stream that it resumes
 * @param resumedRequest the identifier of the caller's attempt that brought the first event of that stream
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
        Optional<Long> lastEventIdentifier,
        Optional<String> resumedRequest) {

    /** Copies the segments. */
    public CallerRequest {
        promptSegments = List.copyOf(promptSegments);
    }

    /**
     * Returns the number of tokens that the request may occupy at an engine.
     *
     * @return prompt tokens plus maximum output tokens
     */
    public long totalTokens() {
        return promptTokens + maximumOutputTokens;
    }
}
