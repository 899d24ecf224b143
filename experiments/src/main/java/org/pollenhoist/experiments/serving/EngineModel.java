package org.pollenhoist.experiments.serving;

/**
 * How fast an engine is, and how much it holds.
 *
 * @param slots requests that run at once
 * @param memoryTokens tokens that its memory holds
 * @param stepMilliseconds time of a step in which every running request gets a token, before what follows is added
 * @param stepMillisecondsPerRequest what each running request adds to a step
 * @param promptTokensPerMillisecond how fast prompts are read
 * @param chunkTokens prompt tokens that are read within one step at the most
 * @param weightMegabytes memory for weights and adapters
 * @param adapterPlaces places for adapters
 * @param diskCopies models whose weights its disk keeps
 */
record EngineModel(
        int slots,
        long memoryTokens,
        double stepMilliseconds,
        double stepMillisecondsPerRequest,
        double promptTokensPerMillisecond,
        int chunkTokens,
        double weightMegabytes,
        int adapterPlaces,
        int diskCopies) {}
