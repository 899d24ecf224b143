package org.pollenhoist.request;

import java.util.Set;
import org.pollenhoist.common.UpstreamName;

/** Counts the upstreams that could run a request. */
@FunctionalInterface
public interface CopyCount {

    /**
     * Counts the copies of what the request needs.
     *
     * @param without upstreams that do not count
     * @return the number of the others
     */
    int copies(Set<UpstreamName> without);
}
