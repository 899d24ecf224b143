package org.pollenhoist.configuration;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.ProfileName;
import org.pollenhoist.common.RouteName;

/**
 * A named way to run requests, which each service picks.
 *
 * @param name its name
 * @param priority 0 (runs last) to 9 (runs first)
 * @param deadline how long a request may take from its arrival to the end of its answer
 * @param models the models that may be asked for
 * @param routes the routes that may be used
 * @param keyFreshness after how long without word from the platform, directly or through peers, a VM refuses requests
 *     under this profile, since it can't learn of withdrawn keys; empty where it serves on
 */
public record Profile(
        ProfileName name,
        int priority,
        Duration deadline,
        Set<ModelName> models,
        Set<RouteName> routes,
        Optional<Duration> keyFreshness) {

    /** Copies the sets. */
    public Profile {
        models = Set.copyOf(models);
        routes = Set.copyOf(routes);
    }
}
