package org.pollenhoist.serving.peer;

import java.net.InetSocketAddress;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.vm.generated.VmDigest;

/**
 * The newest digest of a peer.
 *
 * @param address where it came from
 * @param digest the digest
 * @param heardAt when it came
 */
public record PeerReport(InetSocketAddress address, VmDigest digest, MonotonicTime heardAt) {}
