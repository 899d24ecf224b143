package org.pollenhoist.serving.request;

import java.time.Duration;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.serving.routing.Selection;
import org.pollenhoist.serving.upstream.LoadSnapshot;

/** The log lines of one request's decisions: {@code docs/OPERATIONS.md} leads from them to causes. */
final class RequestLog {

    private static final DecisionLog LOG = DecisionLog.of("request");

    private RequestLog() {}

    static void refused(String identifier, CallerRequest asked, String reason) {
        route(identifier, asked, "refuse", reason);
    }

    static void waiting(String identifier, CallerRequest asked, String reason) {
        route(identifier, asked, "wait", reason);
    }

    static void suspected(String identifier, String fingerprint, String decision, String reason) {
        LOG.event(
                "suspicion", "request", identifier, "fingerprint", fingerprint, "decision", decision, "reason", reason);
    }

    private static void route(String identifier, CallerRequest asked, String decision, String reason) {
        LOG.event(
                "route",
                "request",
                identifier,
                "decision",
                decision,
                "model",
                asked.model(),
                "adapter",
                asked.adapter(),
                "reason",
                reason);
    }

    static void sent(
            String identifier,
            CallerRequest asked,
            Selection.Send send,
            LoadSnapshot load,
            int tries,
            Duration waited) {
        LOG.event(
                "route",
                "request",
                identifier,
                "decision",
                "send",
                "upstream",
                send.upstream().description().identifier(),
                "model",
                asked.model(),
                "adapter",
                asked.adapter(),
                "reason",
                send.reason(),
                "try",
                tries,
                "running",
                load.running(),
                "unread_tokens",
                load.tokensAwaitingPrefill(),
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
            int tries,
            boolean mayHaveRun,
            Duration total) {
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
                tries,
                "ran",
                mayHaveRun,
                "total_ms",
                total.toMillis());
    }
}
