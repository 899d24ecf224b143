package org.pollenhoist.serving.upstream;

import org.pollenhoist.common.MonotonicTime;

/**
 * The load of an upstream at one time: that of the requests of one VM or of several VMs together.
 *
 * @param running the number of running requests
 * @param tokensAwaitingPrefill prompt tokens of the requests that have not received their first token
 * @param reservedTokens prompt and output tokens of all running requests
 * @param reportedAt when the load was reported
 */
public record LoadSnapshot(int running, long tokensAwaitingPrefill, long reservedTokens, MonotonicTime reportedAt) {}
