package org.pollenhoist.serving.returns;

import java.time.Duration;
import org.pollenhoist.common.MonotonicTime;

/**
 * A caller that is refused for want of room, and may return.
 *
 * @param pool the pool that has no room
 * @param priority its priority; 0 is the highest
 * @param arrivedAt when its request arrived; spreads the callers of several VMs within a slot
 * @param earliest time from now before which there is no room for it
 * @param latest time from now after which it no longer waits
 */
public record ReturnRequest(Pool pool, int priority, MonotonicTime arrivedAt, Duration earliest, Duration latest) {}
