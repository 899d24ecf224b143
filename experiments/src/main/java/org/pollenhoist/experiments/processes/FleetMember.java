package org.pollenhoist.experiments.processes;

import java.net.URI;

/**
 * A process of a fleet.
 *
 * @param name its name
 * @param failureDomain where it stands
 * @param port TCP port on loopback
 * @param process the process
 */
public record FleetMember(String name, String failureDomain, int port, LocalProcess process) {

    /** The IP number of all members. */
    public static final String ADDRESS = "127.0.0.1";

    /**
     * Returns the address of a path.
     *
     * @param path the path with its leading slash
     * @return the address
     */
    public URI uri(String path) {
        return URI.create("http://" + ADDRESS + ":" + port + path);
    }
}
