package org.pollenhoist.serving.catalog;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * A service to which routes send requests.
 *
 * @param name its name
 * @param maximumConnections maximum number of connections that each of its upstreams accepts from all VMs together
 * @param engine the properties of its engines, present if its upstreams are model engines
 * @param coldRequestsPerSecond requests per second that each of its upstreams accepts from all VMs together while it is
 *     cold, empty if a cold upstream accepts as many as any other
 */
public record Service(
        String name, int maximumConnections, Optional<Engine> engine, OptionalDouble coldRequestsPerSecond) {

    /**
     * Creates a service whose cold upstreams accept as many requests as others.
     *
     * @param name its name
     * @param maximumConnections maximum number of connections that each of its upstreams accepts from all VMs together
     * @param engine the properties of its engines, present if its upstreams are model engines
     */
    public Service(String name, int maximumConnections, Optional<Engine> engine) {
        this(name, maximumConnections, engine, OptionalDouble.empty());
    }
}
