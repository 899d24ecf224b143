package org.pollenhoist.serving.catalog;

import java.time.Duration;

/**
 * Limits on the size of callers' requests and on the time that a connection may wait for them.
 *
 * @param headerBytes maximum size of a request's header, in bytes
 * @param bodyBytes maximum size of a request's body, in bytes
 * @param headerTimeout longest time that a request's header may take to arrive
 * @param idleTimeout longest time that a connection may stay idle
 */
public record CallerLimits(int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** The limits that apply until the first configuration has been read. */
    public static final CallerLimits DEFAULTS =
            new CallerLimits(16_384, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
