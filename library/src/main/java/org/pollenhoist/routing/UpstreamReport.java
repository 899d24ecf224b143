package org.pollenhoist.routing;

import java.time.Duration;
import java.util.Set;
import org.pollenhoist.common.AdapterName;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.UpstreamName;

/**
 * What an upstream said of its load, directly or through the VM that polls it.
 *
 * @param upstream who reports
 * @param incarnation the upstream's start; a new one is empty
 * @param running requests that run there, from all VMs
 * @param waiting requests that wait there, from all VMs
 * @param freeMemoryBytes accelerator memory that is not taken, in bytes
 * @param models the models that are ready there
 * @param adapters the adapters that are ready there
 * @param isLeaving whether the upstream is about to stop
 * @param age how long before its arrival here the report was true
 */
public record UpstreamReport(
        UpstreamName upstream,
        long incarnation,
        int running,
        int waiting,
        long freeMemoryBytes,
        Set<ModelName> models,
        Set<AdapterName> adapters,
        boolean isLeaving,
        Duration age) {

    /** Copies the sets. */
    public UpstreamReport {
        models = Set.copyOf(models);
        adapters = Set.copyOf(adapters);
    }
}
