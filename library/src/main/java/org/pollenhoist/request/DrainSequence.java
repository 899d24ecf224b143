package org.pollenhoist.request;

import java.time.Duration;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;

/**
 * The planned stop of an entry VM as a state machine. Each phase exists since the views of balancer, peers and callers
 * lag behind the process's own.
 *
 * @param bounds the durations
 * @param phase the present phase
 * @param since when the phase began
 */
public record DrainSequence(DrainBounds bounds, DrainPhase phase, MonotonicTime since) {

    private static final DecisionLog LOG = DecisionLog.of("request");

    /**
     * What the process still has in hand.
     *
     * @param requests running requests that are not streams
     * @param streams running streams
     * @param isHandedOver whether all shares and leases have been handed over
     */
    public record Work(int requests, int streams, boolean isHandedOver) {}

    /**
     * Returns the sequence of a process that serves.
     *
     * @param bounds the durations
     * @param now the present time
     * @return the sequence
     */
    public static DrainSequence serving(DrainBounds bounds, MonotonicTime now) {
        return new DrainSequence(bounds, DrainPhase.SERVING, now);
    }

    /**
     * Begins the stop. Further calls change nothing.
     *
     * @param now the present time
     * @return the sequence
     */
    public DrainSequence stop(MonotonicTime now) {
        return phase == DrainPhase.SERVING ? enter(DrainPhase.UNREADY, "asked_to_stop", now) : this;
    }

    /**
     * Goes on to the next phase where it is time. Called again until the sequence no longer changes.
     *
     * @param work what is still in hand
     * @param now the present time
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
     * Tells whether requests that are not streams have used up their bound, so that what still runs is to be ended
     * with the truth.
     *
     * @param now the present time
     * @return true once the bound has passed
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
        boolean areRequestsOver = work.requests() == 0 || hasPassed(bounds.draining(), now);
        boolean areStreamsOver = work.streams() == 0 || hasPassed(bounds.longStreams(), now);
        if (!areRequestsOver || !areStreamsOver) {
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
