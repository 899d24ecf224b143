package org.pollenhoist.serving.catalog;

import java.util.Optional;

/**
 * A service to which routes send requests.
 *
 * @param name its name
 * @param maximumConnections maximum number of connections that each of its upstreams accepts from all VMs together
 * @param engine the properties of its engines, present if its upstreams are model engines
 */
public record Service(String name, int maximumConnections, Optional<Engine> engine) {}
