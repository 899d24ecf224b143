package org.pollenhoist.serving.catalog;

import java.util.Optional;

/**
 * A service that routes lead to.
 *
 * @param name its name
 * @param maximumConnections connections that one of its upstreams accepts from all VMs together
 * @param engine present where its upstreams are model engines
 */
public record Service(String name, int maximumConnections, Optional<Engine> engine) {}
