package org.pollenhoist.request;

import java.time.Duration;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;

/**
 * The planned stop of an entry VM as a state machine. The phases are needed because the load balancer, the peers and
 * the callers learn of the stop with a delay.
 *
 * @param bounds the durations of the phases
 * @param phase the current phase
 * @param since when the phase began
 */
public record DrainSequence(DrainBounds bounds, DrainPhase phase, MonotonicTime since) {

    private static final DecisionLog LOG = DecisionLog.of("request");

    /**
     * The work that the process has not finished yet.
     *
     * @param requests running requests that are not streams
     * @param streams running streams
     * @param isHandedOver whether all shares of rate limits and all leases have been handed over
     */
    public record Work(int requests, int streams, boolean isHandedOver) {}

    /**
     * Returns the sequence of a process that is serving and not stopping.
     *
     * @param bounds the durations of the phases
     * @param now the current time
     * @return the sequence
     */
    public static DrainSequence serving(DrainBounds bounds, MonotonicTime now) {
        return new DrainSequence(bounds, DrainPhase.SERVING, now);
    }

    /**
     * Starts the stop. Has no effect if the stop has already started.
     *
     * @param now the current time
     * @return the sequence
     */
    public DrainSequence stop(MonotonicTime now) {
        return phase == DrainPhase.SERVING ? enter(DrainPhase.UNREADY, "asked_to_stop", now) : this;
    }

    /**
     * Enters the next phase if its condition is met. Call it repeatedly until the sequence no longer changes.
     *
     * @param work the unfinished work
     * @param now the current time
     * @return the sequence
     */
    public DrainSequence advance(Work work, MonotonicTime now) {
        return switch (phase) {
            case SERVING, STOPPED -> this;
            case UNREADY -> hasPassed(bounds.propagation(), now) ? enter(DrainPhase.CLOSING, "propagated", now) : this;
            case CLOSING -> hasPassed(bounds.closing(), now) ? enter(DrainPhase.HANDING_OVER, "told", now) : this;
            case HANDING_OVER -> afterHandOver(work, now);
            case DRAINING -> afterDrain(work, now);
        };
    }

    /**
     * Returns whether the time limit of requests that are not streams has passed. Those that are still running then are
     * ended with an error that states their actual outcome.
     *
     * @param now the current time
     * @return true once the time limit has passed
     */
    public boolean hasRequestBoundPassed(MonotonicTime now) {
        return phase == DrainPhase.STOPPED || (phase == DrainPhase.DRAINING && hasPassed(bounds.draining(), now));
    }

    private DrainSequence afterHandOver(Work work, MonotonicTime now) {
        if (work.isHandedOver()) {
            return enter(DrainPhase.DRAINING, "handed_over", now);
        }
        return hasPassed(bounds.handingOver(), now) ? enter(DrainPhase.DRAINING, "hand_over_bound", now) : this;
    }

    private DrainSequence afterDrain(Work work, MonotonicTime now) {
        boolean areRequestsDone = work.requests() == 0 || hasPassed(bounds.draining(), now);
        boolean areStreamsDone = work.streams() == 0 || hasPassed(bounds.longStreams(), now);
        if (!areRequestsDone || !areStreamsDone) {
            return this;
        }
        boolean isEmpty = work.requests() == 0 && work.streams() == 0;
        return enter(DrainPhase.STOPPED, isEmpty ? "drained" : "drain_bound", now);
    }

    private boolean hasPassed(Duration bound, MonotonicTime now) {
        return now.since(since).compareTo(bound) >= 0;
    }

    private DrainSequence enter(DrainPhase next, String reason, MonotonicTime now) {
        LOG.event("stop_phase", "phase", next.text(), "reason", reason);
        return new DrainSequence(bounds, next, now);
    }
}
