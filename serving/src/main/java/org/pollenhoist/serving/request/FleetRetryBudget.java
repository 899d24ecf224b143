package org.pollenhoist.serving.request;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.pollenhoist.common.MonotonicTime;

/**
 * This VM's share of the fleet-wide budget for sending requests to a further upstream, over a sliding window. A VM may
 * use the ratio of its own requests plus an equal share of the fixed allowance, so that VMs need no coordination. A
 * process that replaces another one does not use its share of the allowance for one window, since its predecessor may
 * have spent it. Confined to the event loop.
 */
public final class FleetRetryBudget {

    /** Fraction of the budget that is used. The margin is needed because the windows of the VMs are not aligned. */
    private static final double USED_FRACTION = 0.8;

    private double ratio;
    private Duration window;
    private double allowance;
    private final MonotonicTime allowanceAvailableFrom;
    private final Deque<MonotonicTime> requests = new ArrayDeque<>();
    private final Deque<MonotonicTime> retries = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param ratio retries per request
     * @param window the window in which requests and retries are counted
     * @param allowance additional retries per window of all VMs together
     * @param allowanceAvailableFrom when the share of the allowance may first be used
     */
    public FleetRetryBudget(double ratio, Duration window, double allowance, MonotonicTime allowanceAvailableFrom) {
        this.ratio = ratio;
        this.window = window;
        this.allowance = allowance;
        this.allowanceAvailableFrom = allowanceAvailableFrom;
    }

    /**
     * Changes the limits. Requests and retries stay counted, so that a change does not refill the budget.
     *
     * @param newRatio retries per request
     * @param newWindow the window in which requests and retries are counted
     * @param newAllowance additional retries per window of all VMs together
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
        removeExpired(now);
        requests.addLast(now);
    }

    /**
     * Withdraws a retry from the budget, if enough is left.
     *
     * @param fleetSize how many VMs share the allowance
     * @param now the present time
     * @return true if the retry may be sent
     */
    public boolean tryWithdraw(int fleetSize, MonotonicTime now) {
        removeExpired(now);
        double allowanceShare = now.isBefore(allowanceAvailableFrom) ? 0 : allowance / Math.max(1, fleetSize);
        double budget = USED_FRACTION * (ratio * requests.size() + allowanceShare);
        if (retries.size() + 1 > budget) {
            return false;
        }
        retries.addLast(now);
        return true;
    }

    private void removeExpired(MonotonicTime now) {
        MonotonicTime oldest = now.plus(window.negated());
        while (!requests.isEmpty() && requests.getFirst().isBefore(oldest)) {
            requests.removeFirst();
        }
        while (!retries.isEmpty() && retries.getFirst().isBefore(oldest)) {
            retries.removeFirst();
        }
    }
}
