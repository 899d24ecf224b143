package org.pollenhoist.routing;

import java.util.Locale;

/** Why an upstream was chosen or none could be. */
public enum RoutingReason {
    /** Only one upstream could take the request. */
    ONLY_CANDIDATE,
    /** The least expected cost among the compared candidates. */
    LEAST_COST,
    /** The least expected cost, thanks to a cached prompt prefix. */
    CACHED_PREFIX,
    /** The upstream's ejection ran out, and this request tries it. */
    PROBE,
    /** No upstream belongs to the pool. */
    EMPTY_POOL,
    /** No upstream of the pool is known to hold the model. */
    MODEL_NOT_RESIDENT,
    /** All upstreams that hold the model are leaving, ejected or excluded. */
    NONE_AVAILABLE;

    /**
     * Returns the reason as it stands in logs and metrics.
     *
     * @return the reason in lower case with underscores
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
