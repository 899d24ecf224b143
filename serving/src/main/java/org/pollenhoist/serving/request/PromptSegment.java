package org.pollenhoist.serving.request;

/**
 * A part of a prompt that requests may share.
 *
 * @param identifier its identifier
 * @param tokens its length
 */
public record PromptSegment(String identifier, int tokens) {}
