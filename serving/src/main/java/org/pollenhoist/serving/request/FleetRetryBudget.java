package org.pollenhoist.serving.request;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.pollenhoist.common.MonotonicTime;

/**
 * This VM's part of the budget for sending requests to a further upstream, which all VMs share, over a sliding window.
 * Each VM may use its own requests' ratio and an equal part of the fixed allowance, so that no word between VMs is
 * needed. A process that takes the place of another one does without its part of the allowance for a window, since that
 * one may have used it up. Confined to the event loop.
 */
public final class FleetRetryBudget {

    /** Part of the budget that is used, since windows of the VMs slide apart. */
    private static final double USED_PART = 0.8;

    private double ratio;
    private Duration window;
    private double allowance;
    private final MonotonicTime allowedFrom;
    private final Deque<MonotonicTime> requests = new ArrayDeque<>();
    private final Deque<MonotonicTime> retries = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param ratio retries for each request
     * @param window the window over which both are counted
     * @param allowance retries in a window that all VMs together may do beyond that
     * @param allowedFrom when the part of the allowance may be used
     */
    public FleetRetryBudget(double ratio, Duration window, double allowance, MonotonicTime allowedFrom) {
        this.ratio = ratio;
        this.window = window;
        this.allowance = allowance;
        this.allowedFrom = allowedFrom;
    }

    /**
     * Changes the bounds. What was counted stays, so that a change does not make the budget whole again.
     *
     * @param newRatio retries for each request
     * @param newWindow the window over which both are counted
     * @param newAllowance retries in a window that all VMs together may do beyond that
     */
    public void configure(double newRatio, Duration newWindow, double newAllowance) {
        ratio = newRatio;
        window = newWindow;
        allowance = newAllowance;
    }

    /**
     * Counts a request.
     *
     * @param now the present time
     */
    public void recordRequest(MonotonicTime now) {
        forget(now);
        requests.addLast(now);
    }

    /**
     * Takes a retry out of the budget.
     *
     * @param fleetSize how many VMs share the allowance
     * @param now the present time
     * @return true where the retry may be done
     */
    public boolean tryWithdraw(int fleetSize, MonotonicTime now) {
        forget(now);
        double part = now.isBefore(allowedFrom) ? 0 : allowance / Math.max(1, fleetSize);
        double budget = USED_PART * (ratio * requests.size() + part);
        if (retries.size() + 1 > budget) {
            return false;
        }
        retries.addLast(now);
        return true;
    }

    private void forget(MonotonicTime now) {
        MonotonicTime oldest = now.plus(window.negated());
        while (!requests.isEmpty() && requests.getFirst().isBefore(oldest)) {
            requests.removeFirst();
        }
        while (!retries.isEmpty() && retries.getFirst().isBefore(oldest)) {
            retries.removeFirst();
        }
    }
}
