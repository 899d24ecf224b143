package org.pollenhoist.serving.http;

import java.time.Duration;
import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;

/**
 * Options for opening and reusing connections.
 *
 * @param connectTimeout longest time that opening a connection may take
 * @param maximumIdle longest time that a connection may have been idle and still be reused
 * @param unacknowledgedTimeout time without an acknowledgement of sent bytes after which a connection is closed
 * @param latestStart time from which a request for which a connection is being opened is no longer sent, empty if it is
 *     always sent; who sets it ends the exchange at that time
 */
public record ConnectionOptions(
        Duration connectTimeout,
        Duration maximumIdle,
        Duration unacknowledgedTimeout,
        Optional<MonotonicTime> latestStart) {

    /** Reuses any connection that the other end still keeps open. */
    public static final ConnectionOptions ANY_IDLE =
            new ConnectionOptions(Duration.ofMillis(800), Duration.ofHours(1), Duration.ofSeconds(3), Optional.empty());

    /**
     * Reuses only connections that were used recently. For requests that must not be repeated: the other end may have
     * closed an idle connection, and a request sent on it could not be sent again.
     */
    public static final ConnectionOptions RECENTLY_USED = new ConnectionOptions(
            Duration.ofMillis(800), Duration.ofMillis(1_500), Duration.ofSeconds(3), Optional.empty());

    /**
     * Returns the same options with another time-out.
     *
     * @param timeout longest time that opening a connection may take
     * @return the options
     */
    public ConnectionOptions withConnectTimeout(Duration timeout) {
        return new ConnectionOptions(timeout, maximumIdle, unacknowledgedTimeout, latestStart);
    }

    /**
     * Returns the same options for a request that is not sent from a time on.
     *
     * @param time the time at which its caller leaves
     * @return the options
     */
    public ConnectionOptions startingBefore(MonotonicTime time) {
        return new ConnectionOptions(connectTimeout, maximumIdle, unacknowledgedTimeout, Optional.of(time));
    }

    boolean isTooLate(MonotonicTime now) {
        return latestStart.filter(latest -> !now.isBefore(latest)).isPresent();
    }
}
