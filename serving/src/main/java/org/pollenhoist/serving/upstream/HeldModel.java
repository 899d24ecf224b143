package org.pollenhoist.serving.upstream;

import java.util.Set;

/**
 * A model that an engine has loaded. The string form of this record is written to the log, so its name and those of its
 * components must not change.
 *
 * @param name the name of the model
 * @param version the version of its weights
 * @param adapters the adapters of the model that the engine has loaded
 */
public record HeldModel(String name, long version, Set<String> adapters) {

    /** Makes an immutable copy of the adapters. */
    public HeldModel {
        adapters = Set.copyOf(adapters);
    }
}
