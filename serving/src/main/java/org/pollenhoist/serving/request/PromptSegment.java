package org.pollenhoist.serving.request;

/**
 * A segment of a prompt that may occur in several requests, so that an engine can reuse its cache of it.
 *
 * @param identifier the identifier, the same for equal segments
 * @param tokens the length in tokens
 */
public record PromptSegment(String identifier, int tokens) {}
