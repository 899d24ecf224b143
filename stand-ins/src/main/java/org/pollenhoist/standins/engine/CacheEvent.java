package org.pollenhoist.standins.engine;

/**
 * A change of an engine's cache of prompt prefixes; the members are those of the wire format.
 *
 * @param sequence counts the events; a missing number is a gap
 * @param model the model
 * @param prefix the prefix's digest
 * @param kind {@code stored} or {@code evicted}
 */
public record CacheEvent(long sequence, String model, String prefix, String kind) {}
