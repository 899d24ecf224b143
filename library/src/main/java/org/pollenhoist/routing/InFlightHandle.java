package org.pollenhoist.routing;

import java.util.concurrent.atomic.AtomicBoolean;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;

/** One counted request in flight at an upstream. Releasing it more than once has no further effect. */
public final class InFlightHandle {

    private final UpstreamTable table;
    private final UpstreamName upstream;
    private final MonotonicTime since;
    private final boolean isProbe;
    private final AtomicBoolean isReleased = new AtomicBoolean();

    InFlightHandle(UpstreamTable table, UpstreamName upstream, MonotonicTime since, boolean isProbe) {
        this.table = table;
        this.upstream = upstream;
        this.since = since;
        this.isProbe = isProbe;
    }

    /**
     * Ends the count. Safe from any thread, any number of times.
     *
     * @param now the present time
     */
    public void release(MonotonicTime now) {
        if (isReleased.compareAndSet(false, true)) {
            table.release(this, now);
        }
    }

    /**
     * Returns where the request is in flight.
     *
     * @return the upstream
     */
    public UpstreamName upstream() {
        return upstream;
    }

    /**
     * Returns when the request was routed.
     *
     * @return the time of the choice
     */
    public MonotonicTime since() {
        return since;
    }

    boolean isProbe() {
        return isProbe;
    }
}
