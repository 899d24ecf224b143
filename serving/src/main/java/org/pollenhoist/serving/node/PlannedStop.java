package org.pollenhoist.serving.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.http.CallerServer;
import org.pollenhoist.serving.request.RequestHandler;

/**
 * The end of a process that was asked to stop: it serves on while the balancer notices, and ends once nothing runs any
 * more. Every request has its answer before the end. Confined to the event loop.
 */
final class PlannedStop {

    /**
     * How long a balancer may still send new connections after the VM ceased to be ready: two checks, and the way of a
     * connection. What comes later could not be finished before the process is killed.
     */
    private static final Duration BALANCER_LAG = Duration.ofMillis(2_600);

    /** Time before the kill at which a planned stop ends in any case. */
    private static final Duration KILL_MARGIN = Duration.ofMillis(600);

    /** Time before the end of a planned stop at which the last answers are sent, so that they reach their callers. */
    private static final Duration LAST_ANSWERS = Duration.ofMillis(200);

    private static final DecisionLog LOG = DecisionLog.of("node");

    private final RequestHandler handler;
    private final CallerServer callers;
    private final List<Runnable> onStopped = new ArrayList<>();
    private Optional<MonotonicTime> begunAt = Optional.empty();
    private Duration longest = Duration.ZERO;

    PlannedStop(RequestHandler handler, CallerServer callers) {
        this.handler = handler;
        this.callers = callers;
    }

    boolean isBegun() {
        return begunAt.isPresent();
    }

    /** Begins the stop. Returns false where it had begun before; its action runs at the end all the same. */
    boolean begin(Duration grace, Runnable whenStopped, MonotonicTime now) {
        onStopped.add(whenStopped);
        if (isBegun()) {
            return false;
        }
        begunAt = Optional.of(now);
        longest = grace.minus(KILL_MARGIN);
        callers.stop();
        handler.endAllBy(now.plus(longest.minus(LAST_ANSWERS)));
        LOG.event("stopping", "running", handler.runningRequests(), "grace_ms", grace.toMillis());
        return true;
    }

    void tick(MonotonicTime now) {
        begunAt.ifPresent(begun -> endWhenDone(now.since(begun)));
    }

    private void endWhenDone(Duration elapsed) {
        boolean hasBalancerNoticed = elapsed.compareTo(BALANCER_LAG) >= 0;
        if (hasBalancerNoticed) {
            handler.refuseNew();
            callers.closeIdle();
        }
        boolean isDrained = hasBalancerNoticed && handler.runningRequests() == 0 && callers.runningRequests() == 0;
        boolean isOverdue = elapsed.compareTo(longest) >= 0;
        if (isDrained || isOverdue) {
            LOG.event(
                    "stopped",
                    "after_ms",
                    elapsed.toMillis(),
                    "cut",
                    handler.runningRequests(),
                    "connections",
                    callers.openConnections());
            onStopped.forEach(Runnable::run);
            onStopped.clear();
        }
    }
}
