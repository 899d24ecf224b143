package org.pollenhoist.serving.limit;

import org.pollenhoist.common.MonotonicTime;

/**
 * What a VM observed of a limit that an upstream states.
 *
 * @param notice what a response stated
 * @param observedAt when it was received
 */
public record LimitObservation(RateLimitNotice notice, MonotonicTime observedAt) {}
