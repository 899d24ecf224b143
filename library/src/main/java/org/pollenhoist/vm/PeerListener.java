package org.pollenhoist.vm;

import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.vm.generated.Frame;

/** Receives what peers send. Called on a worker of the mesh; must not block for long. */
@FunctionalInterface
public interface PeerListener {

    /**
     * Takes a frame.
     *
     * @param sender who sent it
     * @param frame the frame, never a {@code Hello}
     * @param now the present time
     */
    void onFrame(Peer sender, Frame frame, MonotonicTime now);

    /**
     * Learns that a peer has become reachable.
     *
     * @param peer the peer
     * @param now the present time
     */
    default void onConnected(Peer peer, MonotonicTime now) {}

    /**
     * Learns that a peer can no longer be reached.
     *
     * @param peer the peer
     * @param now the present time
     */
    default void onDisconnected(Peer peer, MonotonicTime now) {}
}
