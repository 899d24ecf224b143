package org.pollenhoist.standins.faults;

import picocli.CommandLine.Option;

/** The options of every stand-in that say where it listens. */
public final class ListenOptions {

    @Option(
            names = "--address",
            defaultValue = "127.0.0.1",
            description = "IP number to listen on (default: ${DEFAULT-VALUE})")
    private String address = "127.0.0.1";

    @Option(names = "--port", defaultValue = "0", description = "TCP port, 0 for any free one (default: 0)")
    private int port;

    /**
     * Returns the IP number to listen on.
     *
     * @return the IP number
     */
    public String address() {
        return address;
    }

    /**
     * Returns the TCP port to listen on.
     *
     * @return the port, 0 for any free one
     */
    public int port() {
        return port;
    }
}
