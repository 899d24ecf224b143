package org.pollenhoist.serving.request;

import java.time.Duration;
import java.util.Set;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.serving.routing.Selection;
import org.pollenhoist.serving.segment.SegmentKey;
import org.pollenhoist.serving.upstream.LoadSnapshot;

/** Logs the decisions on a request. {@code docs/OPERATIONS.md} explains how to find causes from these events. */
final class RequestLog {

    private static final DecisionLog LOG = DecisionLog.of("request");

    private RequestLog() {}

    static void refused(String identifier, CallerRequest request, String reason, ReturnOffer offer) {
        LOG.event(
                "route",
                "request",
                identifier,
                "decision",
                "refuse",
                "model",
                request.model(),
                "adapter",
                request.adapter(),
                "reason",
                reason,
                "retry_ms",
                offer.retryAfter().toMillis(),
                "promised",
                offer.promised());
    }

    static void waiting(String identifier, CallerRequest request, String reason) {
        LOG.event(
                "route",
                "request",
                identifier,
                "decision",
                "wait",
                "model",
                request.model(),
                "adapter",
                request.adapter(),
                "reason",
                reason);
    }

    static void suspected(String identifier, String fingerprint, String decision, String reason) {
        LOG.event(
                "suspicion", "request", identifier, "fingerprint", fingerprint, "decision", decision, "reason", reason);
    }

    static void suspectedSegments(String identifier, Set<SegmentKey> segments, String decision) {
        LOG.event("suspicion", "request", identifier, "segments", segments, "decision", decision);
    }

    static void resumed(CallerRequest request) {
        LOG.event(
                "resumption",
                "request",
                request.identifier(),
                "resumes",
                request.resumedRequest().orElse("unstated"),
                "after_event",
                request.lastEventIdentifier().orElseThrow());
    }

    static void resumptionDecided(CallerRequest request, String source, String version, Duration age) {
        LOG.event(
                "resumption",
                "request",
                request.identifier(),
                "version",
                version,
                "source",
                source,
                "listings_age_ms",
                age.toMillis());
    }

    static void sent(
            String identifier,
            CallerRequest request,
            Selection.Send send,
            LoadSnapshot load,
            int attemptCount,
            Duration waited) {
        LOG.event(
                "route",
                "request",
                identifier,
                "decision",
                "send",
                "upstream",
                send.upstream().description().identifier(),
                "version",
                send.upstream().description().softwareVersion(),
                "model",
                request.model(),
                "adapter",
                request.adapter(),
                "reason",
                send.reason(),
                "try",
                attemptCount,
                "running",
                load.running(),
                "unread_tokens",
                load.tokensAwaitingPrefill(),
                "kept_tokens",
                send.saving().keptTokens(),
                "expected_ms",
                send.expectedWait().toMillis(),
                "waited_ms",
                waited.toMillis());
    }

    static void ended(
            String identifier,
            String route,
            String team,
            String outcome,
            String reason,
            int attemptCount,
            boolean mayHaveRun,
            Duration total,
            long configurationVersion) {
        LOG.event(
                "request_end",
                "request",
                identifier,
                "route",
                route,
                "team",
                team,
                "outcome",
                outcome,
                "reason",
                reason,
                "tries",
                attemptCount,
                "ran",
                mayHaveRun,
                "total_ms",
                total.toMillis(),
                "configuration",
                configurationVersion);
    }
}
