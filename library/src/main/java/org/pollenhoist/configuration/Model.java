package org.pollenhoist.configuration;

import java.util.Set;
import org.pollenhoist.common.AdapterName;
import org.pollenhoist.common.ModelName;

/**
 * A model that callers ask for.
 *
 * @param name its name
 * @param version the version that is to serve
 * @param pool the group of upstreams that can hold it, such as {@code scribe}
 * @param memoryBytes accelerator memory that a loaded copy takes, in bytes
 * @param adapters the adapters that go with it
 * @param adapterMemoryBytes accelerator memory that each loaded adapter takes, in bytes
 */
public record Model(
        ModelName name,
        String version,
        String pool,
        long memoryBytes,
        Set<AdapterName> adapters,
        long adapterMemoryBytes) {

    /** Copies the adapters. */
    public Model {
        adapters = Set.copyOf(adapters);
    }
}
