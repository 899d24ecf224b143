package org.pollenhoist.serving.http;

import java.time.Duration;

/**
 * How to reach the other end.
 *
 * @param connectTimeout how long opening a connection may take
 * @param maximumIdle how long a connection may have been idle to be used again
 * @param unacknowledgedTimeout after this time without an acknowledgement of sent bytes a connection is closed
 */
public record ConnectionOptions(Duration connectTimeout, Duration maximumIdle, Duration unacknowledgedTimeout) {

    /** Any connection may be used again as long as the other end keeps it. */
    public static final ConnectionOptions ANY_IDLE =
            new ConnectionOptions(Duration.ofMillis(800), Duration.ofHours(1), Duration.ofSeconds(3));

    /**
     * Only connections that were used moments ago are used again: what is sent on one that the other end has closed
     * meanwhile may not be repeated.
     */
    public static final ConnectionOptions RECENTLY_USED =
            new ConnectionOptions(Duration.ofMillis(800), Duration.ofMillis(1_500), Duration.ofSeconds(3));
}
