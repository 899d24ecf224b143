package org.pollenhoist.configuration;

import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.UpstreamName;

/**
 * A replica of a model engine or an instance of a plain service.
 *
 * @param name its name
 * @param kind what runs there
 * @param pool the group that it belongs to, such as {@code scribe}
 * @param address IP number
 * @param port TCP port
 * @param failureDomain where it stands
 * @param accelerators how many accelerators it has; 0 for a plain service
 * @param memoryBytes accelerator memory for models and adapters, in bytes; 0 for a plain service
 * @param refusesOldFencing whether it refuses an order with an old fencing number
 */
public record Upstream(
        UpstreamName name,
        Kind kind,
        String pool,
        String address,
        int port,
        FailureDomain failureDomain,
        int accelerators,
        long memoryBytes,
        boolean refusesOldFencing) {

    /** What runs on an upstream. */
    public enum Kind {
        /** A model engine. */
        ENGINE,
        /** A plain service. */
        PLAIN_SERVICE
    }
}
