package org.pollenhoist.request;

/**
 * Limits retries to a tenth of the requests: each request adds a tenth of a retry to the budget, which holds at most
 * {@value #CAPACITY} retries. Over any sequence of requests, there are at most requests / 10 + {@value #CAPACITY}
 * retries. Thread-safe; the lock is a leaf lock.
 */
public final class RetryBudget {

    private static final int REQUESTS_PER_RETRY = 10;
    private static final int CAPACITY = 10;

    private int availableTenths = CAPACITY * REQUESTS_PER_RETRY;

    /** Creates a full budget. */
    public RetryBudget() {}

    /** Adds the share of one request to the budget. Not to be called for retries. */
    public synchronized void recordRequest() {
        availableTenths = Math.min(availableTenths + 1, CAPACITY * REQUESTS_PER_RETRY);
    }

    /**
     * Takes one retry from the budget, if there is one.
     *
     * @return true if the retry may be made
     */
    public synchronized boolean tryWithdraw() {
        if (availableTenths < REQUESTS_PER_RETRY) {
            return false;
        }
        availableTenths -= REQUESTS_PER_RETRY;
        return true;
    }
}
