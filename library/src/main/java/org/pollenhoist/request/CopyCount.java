package org.pollenhoist.request;

import java.util.Set;
import org.pollenhoist.common.UpstreamName;

/** Counts the upstreams that can execute a request. */
@FunctionalInterface
public interface CopyCount {

    /**
     * Counts the copies of the model that the request needs.
     *
     * @param without upstreams to leave out of the count
     * @return the number of copies on other upstreams
     */
    int copies(Set<UpstreamName> without);
}
