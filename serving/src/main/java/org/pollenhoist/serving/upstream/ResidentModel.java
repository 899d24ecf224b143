package org.pollenhoist.serving.upstream;

import java.util.Set;

/**
 * A model that an engine has loaded.
 *
 * @param name the name of the model
 * @param version the version of its weights
 * @param adapters the adapters of the model that the engine has loaded
 */
public record ResidentModel(String name, long version, Set<String> adapters) {

    /** Makes an immutable copy of the adapters. */
    public ResidentModel {
        adapters = Set.copyOf(adapters);
    }
}
