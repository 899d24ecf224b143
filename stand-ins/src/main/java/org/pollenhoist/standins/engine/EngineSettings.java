package org.pollenhoist.standins.engine;

import java.time.Duration;

/**
 * How an engine behaves.
 *
 * @param name its name in reports
 * @param firstTokenTime time from the begin of an execution to its first token where no prefix is cached
 * @param cachedFirstTokenTime the same where the prompt's prefix is cached
 * @param timePerToken time between tokens
 * @param concurrentSequences how many sequences run at once; further ones wait
 * @param memoryBytes memory for models and adapters, in bytes
 * @param loadBytesPerSecond speed of loading, in bytes per second
 * @param orderDelay time from accepting an order to beginning it
 * @param reportLag how old reports are
 * @param cacheEventLag how late cache events show
 * @param cacheEventGap every how many cache events one is missing, 0 for none
 * @param cachedPrefixes how many prompt prefixes the cache holds
 * @param refusesOldFencing whether it refuses an order with an old fencing number
 */
public record EngineSettings(
        String name,
        Duration firstTokenTime,
        Duration cachedFirstTokenTime,
        Duration timePerToken,
        int concurrentSequences,
        long memoryBytes,
        long loadBytesPerSecond,
        Duration orderDelay,
        Duration reportLag,
        Duration cacheEventLag,
        int cacheEventGap,
        int cachedPrefixes,
        boolean refusesOldFencing) {}
