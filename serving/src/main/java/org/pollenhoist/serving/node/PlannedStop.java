package org.pollenhoist.serving.node;

import java.time.Duration;
import java.util.Optional;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.forwarding.ForwardingServer;
import org.pollenhoist.serving.http.CallerServer;
import org.pollenhoist.serving.request.RequestHandler;

/**
 * Graceful shutdown of a process that was asked to stop: it keeps serving until the load balancer has noticed, and ends
 * once no request is running. Every request is answered before the process ends. Confined to the event loop.
 */
final class PlannedStop {

    /**
     * How long a load balancer may keep sending new connections after the VM stopped being ready: two health checks
     * plus the connection set-up. Requests that arrive later could not be finished before the process is killed.
     */
    private static final Duration LOAD_BALANCER_LAG = Duration.ofMillis(2_600);

    /** Time before the kill at which a planned stop ends in any case. */
    private static final Duration KILL_MARGIN = Duration.ofMillis(600);

    /** Time before the end of a planned stop at which the last responses are sent, so that they reach their callers. */
    private static final Duration FINAL_RESPONSES_MARGIN = Duration.ofMillis(200);

    private static final DecisionLog LOG = DecisionLog.of("node");

    private final RequestHandler handler;
    private final CallerServer callers;
    private final ForwardingServer forwarding;
    private final Runnable whenComplete;
    private Optional<MonotonicTime> startedAt = Optional.empty();
    private Duration maxDuration = Duration.ZERO;
    private boolean isComplete;

    PlannedStop(RequestHandler handler, CallerServer callers, ForwardingServer forwarding, Runnable whenComplete) {
        this.handler = handler;
        this.callers = callers;
        this.forwarding = forwarding;
        this.whenComplete = whenComplete;
    }

    boolean isStopping() {
        return startedAt.isPresent();
    }

    /** Begins the stop. Returns false if it has begun before. */
    boolean begin(Duration grace, MonotonicTime now) {
        if (isStopping()) {
            return false;
        }
        startedAt = Optional.of(now);
        maxDuration = grace.minus(KILL_MARGIN);
        callers.stop();
        handler.endAllBy(now.plus(maxDuration.minus(FINAL_RESPONSES_MARGIN)));
        LOG.event("stopping", "running", handler.runningRequests(), "grace_ms", grace.toMillis());
        return true;
    }

    void tick(MonotonicTime now) {
        startedAt.filter(started -> !isComplete).ifPresent(started -> proceed(now.since(started)));
    }

    private void proceed(Duration elapsed) {
        boolean hasBalancerNoticed = elapsed.compareTo(LOAD_BALANCER_LAG) >= 0;
        if (hasBalancerNoticed) {
            handler.refuseNew();
            callers.closeIdle();
        }
        boolean isDrained = hasBalancerNoticed
                && handler.runningRequests() == 0
                && callers.runningRequests() == 0
                && forwarding.runningRequests() == 0;
        boolean isOverdue = elapsed.compareTo(maxDuration) >= 0;
        if (isDrained || isOverdue) {
            LOG.event(
                    "stopped",
                    "after_ms",
                    elapsed.toMillis(),
                    "cut",
                    handler.runningRequests(),
                    "cut_for_peers",
                    forwarding.runningRequests(),
                    "connections",
                    callers.openConnections(),
                    "unsent_bytes",
                    callers.unsentBytes());
            isComplete = true;
            whenComplete.run();
        }
    }
}
