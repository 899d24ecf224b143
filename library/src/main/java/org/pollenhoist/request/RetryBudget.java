package org.pollenhoist.request;

/**
 * Bounds retries to a tenth of the requests: each request earns a tenth of a retry, and at most {@value #CAPACITY} are
 * kept. Over any run of requests, retries are at most requests / 10 + {@value #CAPACITY}. Thread-safe; the lock is a
 * leaf.
 */
public final class RetryBudget {

    private static final int REQUESTS_PER_RETRY = 10;
    private static final int CAPACITY = 10;

    private int earnedTenths = CAPACITY * REQUESTS_PER_RETRY;

    /** Creates a budget that is full. */
    public RetryBudget() {}

    /** Counts a request, not its retries. */
    public synchronized void recordRequest() {
        earnedTenths = Math.min(earnedTenths + 1, CAPACITY * REQUESTS_PER_RETRY);
    }

    /**
     * Takes one retry out, where there is one.
     *
     * @return true where the retry may be done
     */
    public synchronized boolean tryWithdraw() {
        if (earnedTenths < REQUESTS_PER_RETRY) {
            return false;
        }
        earnedTenths -= REQUESTS_PER_RETRY;
        return true;
    }
}
