package org.pollenhoist.serving.upstream;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.request.RateLimitNotice;
import org.pollenhoist.serving.request.ResponseHead;

/**
 * Processes the notices that upstreams attach to responses of any kind: that they are leaving, that they ask for a
 * back-off period, or that they limit their request rate. Confined to the event loop.
 */
public final class UpstreamNoticeHandler {

    private static final DecisionLog LOG = DecisionLog.of("upstream");

    /** Status with which another process at the upstream's address rejects a request that was not meant for it. */
    private static final int MISDIRECTED = 421;

    private final Map<String, RateLimitNotice> rateLimits = new HashMap<>();
    private final UpstreamTable upstreams;
    private final Consumer<Upstream> onLeaving;

    /**
     * Creates a handler for the upstreams of a table.
     *
     * @param upstreams the upstreams
     * @param onLeaving called with an upstream that was not yet known to be leaving, so that peers can be notified
     */
    public UpstreamNoticeHandler(UpstreamTable upstreams, Consumer<Upstream> onLeaving) {
        this.upstreams = upstreams;
        this.onLeaving = onLeaving;
    }

    /**
     * Processes the notices in a response. Responses of another process at the upstream's address are ignored.
     *
     * @param identifier the upstream that was addressed; the response is ignored if no such upstream is registered
     * @param response the head of the response
     * @param now the current time
     */
    public void handleResponse(String identifier, ResponseHead response, MonotonicTime now) {
        logRateLimit(identifier, response);
        boolean isNotice = response.isLeaving() || response.retryAfter().isPresent();
        Optional<Upstream> found = isNotice ? upstreams.find(identifier) : Optional.empty();
        if (found.isEmpty() || isFromOtherProcess(identifier, response)) {
            return;
        }
        Upstream upstream = found.get();
        if (response.isLeaving() && upstream.markLeaving()) {
            LOG.event("upstream_leaving", "upstream", identifier, "source", "answer");
            onLeaving.accept(upstream);
        }
        response.retryAfter().ifPresent(backOff -> {
            upstream.backOffUntil(now.plus(backOff));
            LOG.event("upstream_paused", "upstream", identifier, "for_ms", backOff.toMillis());
        });
    }

    private void logRateLimit(String identifier, ResponseHead response) {
        RateLimitNotice known = rateLimits.getOrDefault(identifier, new RateLimitNotice.Unlimited());
        if (known.equals(response.rateLimit()) || isFromOtherProcess(identifier, response)) {
            return;
        }
        rateLimits.put(identifier, response.rateLimit());
        LOG.event(
                "upstream_rate_limit",
                "upstream",
                identifier,
                "named",
                response.rateLimit(),
                "status",
                response.status());
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
