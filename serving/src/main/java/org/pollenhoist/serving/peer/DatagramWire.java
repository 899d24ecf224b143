package org.pollenhoist.serving.peer;

import java.net.InetSocketAddress;
import java.util.List;

/** Carries datagrams to peers; some may be lost. */
public interface DatagramWire {

    /**
     * Sends the same bytes to some peers.
     *
     * @param bytes the datagram
     * @param receivers where to
     */
    void send(byte[] bytes, List<InetSocketAddress> receivers);
}
