package org.pollenhoist.serving.peer;

import java.net.InetSocketAddress;
import java.util.List;

/** Sends datagrams to peers; delivery is not guaranteed. */
public interface DatagramTransport {

    /**
     * Sends the same datagram to several peers.
     *
     * @param bytes the content of the datagram
     * @param receivers the addresses of the peers
     */
    void send(byte[] bytes, List<InetSocketAddress> receivers);
}
