package org.pollenhoist.serving.upstream;

import org.pollenhoist.common.MonotonicTime;

/**
 * The load that one peer gives an upstream.
 *
 * @param running requests that the peer has running there
 * @param unreadTokens prompt tokens of those whose first token has not come
 * @param reservedTokens prompt and output tokens of all of them
 * @param heardAt when the peer said so
 */
public record PeerUse(int running, long unreadTokens, long reservedTokens, MonotonicTime heardAt) {}
