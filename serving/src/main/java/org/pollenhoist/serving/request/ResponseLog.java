package org.pollenhoist.serving.request;

import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.serving.http.ConnectionUse;
import org.pollenhoist.serving.upstream.Upstream;

/** Logs whether a response that was received is taken for the one to a request. */
public final class ResponseLog {

    private static final DecisionLog LOG = DecisionLog.of("request");

    private ResponseLog() {}

    /**
     * Writes the line of one response.
     *
     * @param request the identifier of the request that awaits a response
     * @param upstream the upstream that the request was sent to
     * @param head the head of the response
     * @param use the connection on which it came
     * @param isAwaited whether it is taken for the response to the request; otherwise it is discarded
     */
    public static void received(
            String request, Upstream upstream, ResponseHead head, ConnectionUse use, boolean isAwaited) {
        LOG.event(
                isAwaited ? "answer" : "foreign_answer",
                "request",
                request,
                "upstream",
                upstream.description().identifier(),
                "names",
                head.requestIdentifier().orElse("none"),
                "status",
                head.status(),
                "connection",
                use.connection(),
                "earlier_exchanges",
                use.earlierExchanges(),
                "skipped",
                use.skippedResponses());
    }
}
