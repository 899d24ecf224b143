package org.pollenhoist.serving.upstream;

import java.util.Set;

/**
 * A model that an engine holds.
 *
 * @param name the model
 * @param version the version of its weights
 * @param adapters the adapters of it that the engine holds
 */
public record ResidentModel(String name, long version, Set<String> adapters) {

    /** Copies the adapters. */
    public ResidentModel {
        adapters = Set.copyOf(adapters);
    }
}
