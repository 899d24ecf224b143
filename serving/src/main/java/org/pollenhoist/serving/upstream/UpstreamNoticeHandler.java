package org.pollenhoist.serving.upstream;

import java.util.Optional;
import java.util.function.Consumer;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.request.ResponseHead;

/**
 * Takes over what upstreams say of themselves in answers to whatever they are sent: that they leave, or that they want
 * nothing for a while. Confined to the event loop.
 */
public final class UpstreamNoticeHandler {

    private static final DecisionLog LOG = DecisionLog.of("upstream");

    /** Status of another process at the upstream's address, which speaks for itself. */
    private static final int MISDIRECTED = 421;

    private final UpstreamTable upstreams;
    private final Consumer<Upstream> onLeaving;

    /**
     * Creates notices on the upstreams of a table.
     *
     * @param upstreams the upstreams
     * @param onLeaving is told an upstream that was not known to leave, so that peers learn it
     */
    public UpstreamNoticeHandler(UpstreamTable upstreams, Consumer<Upstream> onLeaving) {
        this.upstreams = upstreams;
        this.onLeaving = onLeaving;
    }

    /**
     * Takes an answer in.
     *
     * @param identifier the upstream that was asked; what is no upstream is passed over
     * @param answer the answer's head
     * @param now the present time
     */
    public void handleResponse(String identifier, ResponseHead answer, MonotonicTime now) {
        boolean isNotice = answer.isLeaving() || answer.retryAfter().isPresent();
        Optional<Upstream> found = isNotice ? upstreams.find(identifier) : Optional.empty();
        if (found.isEmpty() || isFromAnother(identifier, answer)) {
            return;
        }
        Upstream upstream = found.get();
        if (answer.isLeaving() && upstream.markLeaving()) {
            LOG.event("upstream_leaving", "upstream", identifier, "source", "answer");
            onLeaving.accept(upstream);
        }
        answer.retryAfter().ifPresent(pause -> {
            upstream.backOffUntil(now.plus(pause));
            LOG.event("upstream_paused", "upstream", identifier, "for_ms", pause.toMillis());
        });
    }

    /**
     * Takes in that a peer knows an upstream to leave.
     *
     * @param identifier the upstream
     * @param startedMilliseconds the start of the lifetime that leaves, in Unix milliseconds
     * @param peer the peer, for the log
     */
    public void handlePeerNotice(String identifier, long startedMilliseconds, String peer) {
        upstreams
                .find(identifier)
                .filter(upstream -> upstream.description().startedMilliseconds() == startedMilliseconds)
                .filter(Upstream::markLeaving)
                .ifPresent(upstream ->
                        LOG.event("upstream_leaving", "upstream", identifier, "source", "peer", "peer", peer));
    }

    private static boolean isFromAnother(String identifier, ResponseHead answer) {
        return answer.upstreamIdentifier()
                .map(named -> !named.equals(identifier))
                .orElse(answer.status() == MISDIRECTED);
    }
}
