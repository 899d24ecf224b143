package org.pollenhoist.experiments.processes;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/** Finds TCP ports on loopback that nothing listens on; gives none out twice. */
public final class FreePorts {

    private static final Set<Integer> GIVEN = new HashSet<>();

    private FreePorts() {}

    /**
     * Finds a port.
     *
     * @return the port
     */
    public static int next() {
        while (true) {
            int port = findOne();
            synchronized (GIVEN) {
                if (GIVEN.add(port)) {
                    return port;
                }
            }
        }
    }

    private static int findOne() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException("no free port on loopback", e);
        }
    }
}
