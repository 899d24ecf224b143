package org.pollenhoist.serving.request;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.pollenhoist.serving.http.ConnectionUse;
import org.pollenhoist.serving.limit.RateLimitNotice;

/**
 * Status and metadata from the head of an upstream's response.
 *
 * @param status the HTTP status
 * @param requestIdentifier the request that it belongs to, empty if the response does not name one
 * @param isGenuine whether it has the header that only upstreams add
 * @param isNotRun whether it states that the request was not run
 * @param upstreamIdentifier the upstream that sent it, empty if the response does not name one
 * @param isLeaving whether the upstream announces that it is leaving
 * @param retryAfter the back-off period that the upstream asks this VM for when it rejects the request
 * @param rateLimit whether the upstream limits the requests that it accepts from all VMs together
 * @param rejectionLimit whether the upstream is brittle, that is, falls over when it has to reject more than a number
 *     of requests in a second
 * @param pace how long work takes at the upstream now, as a multiple of its usual time, empty if it does not say so
 */
public record ResponseHead(
        int status,
        Optional<String> requestIdentifier,
        boolean isGenuine,
        boolean isNotRun,
        Optional<String> upstreamIdentifier,
        boolean isLeaving,
        Optional<Duration> retryAfter,
        RateLimitNotice rateLimit,
        RateLimitNotice rejectionLimit,
        OptionalDouble pace) {

    private static final int SERVICE_UNAVAILABLE = 503;

    /** Time in which a response has to begin after one that names no request. */
    private static final Duration WAIT_AFTER_UNNAMED_RESPONSE = Duration.ofSeconds(1);

    /**
     * Creates the metadata of a response that says nothing of the upstream's pace.
     *
     * @param status the HTTP status
     * @param requestIdentifier the request that it belongs to, empty if the response does not name one
     * @param isGenuine whether it has the header that only upstreams add
     * @param isNotRun whether it states that the request was not run
     * @param upstreamIdentifier the upstream that sent it, empty if the response does not name one
     * @param isLeaving whether the upstream announces that it is leaving
     * @param retryAfter the back-off period that the upstream asks this VM for when it rejects the request
     * @param rateLimit whether the upstream limits the requests that it accepts from all VMs together
     * @param rejectionLimit whether the upstream is brittle
     */
    public ResponseHead(
            int status,
            Optional<String> requestIdentifier,
            boolean isGenuine,
            boolean isNotRun,
            Optional<String> upstreamIdentifier,
            boolean isLeaving,
            Optional<Duration> retryAfter,
            RateLimitNotice rateLimit,
            RateLimitNotice rejectionLimit) {
        this(
                status,
                requestIdentifier,
                isGenuine,
                isNotRun,
                upstreamIdentifier,
                isLeaving,
                retryAfter,
                rateLimit,
                rejectionLimit,
                OptionalDouble.empty());
    }

    /**
     * Tells whether the response belongs to a request.
     *
     * @param request the identifier of the request
     * @param use what the connection carried before
     * @return true if it names the request, or is a failure that names none on a connection that carried no other
     */
    public boolean belongsTo(String request, ConnectionUse use) {
        return requestIdentifier.map(request::equals).orElse(!isSuccess() && use.isFirst());
    }

    /**
     * Returns how long another response may take to begin if this one is not taken for the awaited one. A response that
     * names no request may have been that one; a rejection or a success may also be a copy of the response to another
     * call.
     *
     * @param use what the connection carried before
     * @return the time, empty if it is not limited since the response names another request
     */
    public Optional<Duration> maximumWaitAfterDiscarding(ConnectionUse use) {
        if (requestIdentifier.isPresent()) {
            return Optional.empty();
        }
        boolean isRejection = isNotRun || status == SERVICE_UNAVAILABLE;
        boolean mayBeCopy = !use.isFirst() && (isRejection || isSuccess());
        return Optional.of(mayBeCopy ? WAIT_AFTER_UNNAMED_RESPONSE : Duration.ZERO);
    }

    /**
     * Tells whether the upstream rejected the request for want of room.
     *
     * @return true if it did not run the request and is unavailable
     */
    public boolean isFull() {
        return isNotRun && status == SERVICE_UNAVAILABLE;
    }

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
