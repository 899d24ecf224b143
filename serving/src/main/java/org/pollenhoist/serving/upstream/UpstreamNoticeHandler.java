package org.pollenhoist.serving.upstream;

import java.util.Optional;
import java.util.function.Consumer;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.request.UpstreamLifetime;
import org.pollenhoist.serving.limit.LimitObservation;
import org.pollenhoist.serving.limit.RateLimitNotice;
import org.pollenhoist.serving.request.ResponseHead;

/**
 * Processes the notices that upstreams attach to responses of any kind: that they are leaving, that they ask for a
 * back-off period, or that they limit their request rate. Confined to the event loop.
 */
public final class UpstreamNoticeHandler {

    private static final DecisionLog LOG = DecisionLog.of("upstream");

    /** Status with which another process at the upstream's address rejects a request that was not meant for it. */
    private static final int MISDIRECTED = 421;

    private final UpstreamTable upstreams;
    private final Consumer<Upstream> onNews;

    /**
     * Creates a handler for the upstreams of a table.
     *
     * @param upstreams the upstreams
     * @param onNews called with an upstream that is newly known to be leaving, or whose rate limit has changed, so that
     *     peers can be notified
     */
    public UpstreamNoticeHandler(UpstreamTable upstreams, Consumer<Upstream> onNews) {
        this.upstreams = upstreams;
        this.onNews = onNews;
    }

    /**
     * Processes the notices in a response. Responses of another process at the upstream's address are ignored.
     *
     * @param identifier the upstream that was addressed; the response is ignored if no such upstream is registered
     * @param response the head of the response
     * @param now the current time
     */
    public void handleResponse(String identifier, ResponseHead response, MonotonicTime now) {
        boolean isNotice = response.isLeaving()
                || response.retryAfter().isPresent()
                || response.pace().isPresent()
                || response.rateLimit() instanceof RateLimitNotice.Limited
                || response.rejectionLimit() instanceof RateLimitNotice.Limited;
        Optional<Upstream> found = isNotice ? upstreams.find(identifier) : Optional.empty();
        if (found.isEmpty() || isFromOtherProcess(identifier, response)) {
            return;
        }
        Upstream upstream = found.get();
        if (response.isLeaving() && upstream.markLeaving()) {
            LOG.event("upstream_leaving", "upstream", identifier, "source", "answer");
            onNews.accept(upstream);
        }
        if (response.rateLimit() instanceof RateLimitNotice.Limited limited) {
            observeRateLimit(upstream, limited, now, now);
        }
        if (response.rejectionLimit() instanceof RateLimitNotice.Limited limited) {
            observeRejectionLimit(upstream, limited, now, now);
            recordRejection(upstream, response, now);
        }
        response.pace().ifPresent(pace -> upstream.pace().observe(pace, now));
        response.retryAfter().ifPresent(backOff -> {
            upstream.backOffUntil(now.plus(backOff));
            LOG.event("upstream_paused", "upstream", identifier, "for_ms", backOff.toMillis());
        });
    }

    private void recordRejection(Upstream upstream, ResponseHead response, MonotonicTime now) {
        int others = Math.max(0, upstream.ownLoad(now).running() - 1);
        if (response.isFull() && upstream.rejectionLimit().recordRejection(others, now)) {
            LOG.event(
                    "brittle_upstream_full", "upstream", upstream.description().identifier(), "running", others);
            onNews.accept(upstream);
        }
    }

    /**
     * Processes the response to a caller's request as to whether limits have ended. Other responses, such as those to
     * status checks, do not show that.
     *
     * @param upstream the upstream that the request was sent to
     * @param response the head of the response
     * @param sentAt when the request was sent
     * @param now the current time
     */
    public void handleEndOfLimits(Upstream upstream, ResponseHead response, MonotonicTime sentAt, MonotonicTime now) {
        if (isFromOtherProcess(upstream.description().identifier(), response)) {
            return;
        }
        if (response.rateLimit() instanceof RateLimitNotice.Unlimited) {
            observeRateLimit(upstream, response.rateLimit(), sentAt, now);
        }
        if (response.rejectionLimit() instanceof RateLimitNotice.Unlimited) {
            observeRejectionLimit(upstream, response.rejectionLimit(), sentAt, now);
        }
    }

    private void observeRejectionLimit(
            Upstream upstream, RateLimitNotice notice, MonotonicTime sentAt, MonotonicTime now) {
        if (upstream.rejectionLimit().observe(notice, sentAt, now)) {
            logLimit("upstream_rejection_limit", upstream, notice, "answer");
            onNews.accept(upstream);
        }
    }

    /**
     * Processes a peer's observation of the rejections that an upstream bears, and of the last one. It is ignored for
     * other lifetimes of the upstream.
     *
     * @param lifetime the lifetime of the upstream
     * @param observation the observation
     * @param rejectedAt when the upstream rejected a request of the peer, empty if it has not lately
     * @param peer the name of the peer, for the log
     * @param now the current time
     */
    public void handlePeerRejectionLimit(
            UpstreamLifetime lifetime,
            LimitObservation observation,
            Optional<MonotonicTime> rejectedAt,
            String peer,
            MonotonicTime now) {
        upstreams
                .find(lifetime.upstream().value())
                .filter(found -> found.lifetime().equals(lifetime))
                .ifPresent(upstream -> {
                    if (upstream.rejectionLimit().receive(observation, now)) {
                        logLimit("upstream_rejection_limit", upstream, observation.notice(), peer);
                    }
                    rejectedAt.ifPresent(at -> upstream.rejectionLimit()
                            .receiveRejection(upstream.ownLoad(now).running(), at, now));
                });
    }

    private void observeRateLimit(Upstream upstream, RateLimitNotice notice, MonotonicTime sentAt, MonotonicTime now) {
        if (upstream.rateLimit().observe(notice, sentAt, now)) {
            logLimit("upstream_rate_limit", upstream, notice, "answer");
            onNews.accept(upstream);
        }
    }

    /**
     * Processes a peer's observation of a rate limit. It is ignored for other lifetimes of the upstream.
     *
     * @param identifier the upstream
     * @param startedMilliseconds when the observed upstream's process started, in Unix milliseconds
     * @param observation the observation
     * @param peer the name of the peer, for the log
     */
    public void handlePeerRateLimit(
            String identifier, long startedMilliseconds, LimitObservation observation, String peer) {
        upstreams
                .find(identifier)
                .filter(upstream -> upstream.description().startedMilliseconds() == startedMilliseconds)
                .filter(upstream -> upstream.rateLimit().receive(observation))
                .ifPresent(upstream -> logLimit("upstream_rate_limit", upstream, observation.notice(), peer));
    }

    private static void logLimit(String event, Upstream upstream, RateLimitNotice notice, String source) {
        LOG.event(event, "upstream", upstream.description().identifier(), "stated", notice, "source", source);
    }

    /**
     * Processes a peer's notice that an upstream is leaving. It is ignored for other lifetimes of the upstream.
     *
     * @param identifier the upstream
     * @param startedMilliseconds when the leaving upstream's process started, in Unix milliseconds
     * @param peer the name of the peer, for the log
     */
    public void handlePeerNotice(String identifier, long startedMilliseconds, String peer) {
        upstreams
                .find(identifier)
                .filter(upstream -> upstream.description().startedMilliseconds() == startedMilliseconds)
                .filter(Upstream::markLeaving)
                .ifPresent(upstream ->
                        LOG.event("upstream_leaving", "upstream", identifier, "source", "peer", "peer", peer));
    }

    private static boolean isFromOtherProcess(String identifier, ResponseHead response) {
        return response.upstreamIdentifier()
                .map(named -> !named.equals(identifier))
                .orElse(response.status() == MISDIRECTED);
    }
}
