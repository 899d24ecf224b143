package org.pollenhoist.vm;

import java.util.Set;
import org.pollenhoist.common.VmName;
import org.pollenhoist.vm.generated.Frame;

/** Sends frames to peers. Delivery is not assured: who needs it resends until the peer acknowledges. */
public interface PeerMessenger {

    /**
     * Sends a frame where the peer is connected; drops it otherwise.
     *
     * @param receiver the peer
     * @param frame what to send
     */
    void send(VmName receiver, Frame frame);

    /**
     * Returns the peers that are connected now.
     *
     * @return their names
     */
    Set<VmName> connectedPeers();
}
