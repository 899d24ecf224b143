package org.pollenhoist.serving.upstream;

import org.pollenhoist.common.MonotonicTime;

/**
 * The load that one peer gives an upstream.
 *
 * @param running requests that the peer has running there
 * @param tokensAwaitingPrefill prompt tokens of those whose first token has not come
 * @param reservedTokens prompt and output tokens of all of them
 * @param reportedAt when the peer said so
 */
public record LoadSnapshot(int running, long tokensAwaitingPrefill, long reservedTokens, MonotonicTime reportedAt) {}
