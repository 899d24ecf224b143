package org.pollenhoist.serving.catalog;

import java.time.Duration;

/**
 * What a caller may send and how long it may take.
 *
 * @param headerBytes the largest request header
 * @param bodyBytes the largest request body
 * @param headerTimeout how long a request's header may take to arrive
 * @param idleTimeout how long a connection may stay idle
 */
public record CallerLimits(int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** In force before the first configuration. */
    public static final CallerLimits DEFAULTS =
            new CallerLimits(16_384, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
