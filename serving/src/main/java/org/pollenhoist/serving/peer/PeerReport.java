package org.pollenhoist.serving.peer;

import java.net.InetSocketAddress;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.vm.generated.VmDigest;

/**
 * The newest digest of a peer.
 *
 * @param address the address it came from
 * @param digest the digest
 * @param receivedAt when it was received
 */
public record PeerReport(InetSocketAddress address, VmDigest digest, MonotonicTime receivedAt) {}
