package org.pollenhoist.serving.returns;

import java.util.HashMap;
import java.util.Map;
import org.pollenhoist.common.MonotonicTime;

/**
 * The returns that this VM has promised to callers that it refused for want of room. Confined to the event loop.
 *
 * <p>A pool has one slot for each request that this VM starts there at the recent rate; since each VM promises at its
 * own rate, all of them together promise at the rate of the pool. A caller gets the earliest slot that is promised to
 * no caller of its priority or a higher one: urgent callers do not wait behind patient ones.
 *
 * <p>Who returns can't be recognized: a caller's next try has another identifier and reaches another VM. A promise is
 * therefore settled by the first start after its time, or when it has expired.
 */
public final class ReturnLedger {

    /** Maximum number of promises for each pool; bounds memory and the time for one promise. */
    static final int MAXIMUM_PROMISES = 1_000;

    private final Map<Pool, PromisedReturns> pools = new HashMap<>();

    /**
     * Records that a request has been sent to an upstream.
     *
     * @param pool the pool of the upstream
     * @param now the present time
     */
    public void recordStart(Pool pool, MonotonicTime now) {
        of(pool, now).recordStart(now);
    }

    /**
     * Reckons when a refused caller is to return, and promises it room then if it can wait as long.
     *
     * @param request the refused caller
     * @param now the present time
     * @return when it is to return
     */
    public Return promise(ReturnRequest request, MonotonicTime now) {
        return of(request.pool(), now).promise(request, now);
    }

    /**
     * Returns the number of promises that are neither settled nor expired.
     *
     * @param pool the pool
     * @param now the present time
     * @return the number of promises
     */
    int outstanding(Pool pool, MonotonicTime now) {
        return of(pool, now).outstanding(now);
    }

    private PromisedReturns of(Pool pool, MonotonicTime now) {
        if (!pools.containsKey(pool)) {
            pools.values().removeIf(known -> known.isIdle(now));
        }
        return pools.computeIfAbsent(pool, added -> new PromisedReturns());
    }
}
