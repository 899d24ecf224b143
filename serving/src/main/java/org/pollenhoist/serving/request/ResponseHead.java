package org.pollenhoist.serving.request;

import java.time.Duration;
import java.util.Optional;

/**
 * What an upstream's answer says of itself beside its status.
 *
 * @param status the status
 * @param requestIdentifier the request it belongs to, empty where it does not say so
 * @param isGenuine whether it bears an upstream's mark
 * @param isNotRun whether it states that the request was not run
 * @param upstreamIdentifier the upstream that gave it, where it says so
 * @param isLeaving whether the upstream says that it is leaving
 * @param retryAfter for how long the upstream asks this VM to send it nothing, where it turned the request away
 */
public record ResponseHead(
        int status,
        Optional<String> requestIdentifier,
        boolean isGenuine,
        boolean isNotRun,
        Optional<String> upstreamIdentifier,
        boolean isLeaving,
        Optional<Duration> retryAfter) {

    /**
     * Tells whether the request succeeded.
     *
     * @return true for statuses from 200 to 299
     */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /**
     * Tells whether the upstream failed.
     *
     * @return true for statuses from 500
     */
    public boolean isServerError() {
        return status >= 500;
    }
}
