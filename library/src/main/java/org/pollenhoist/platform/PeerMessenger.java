package org.pollenhoist.platform;

import org.pollenhoist.common.VmName;
import org.pollenhoist.vm.generated.Frame;

/** Sends messages to peers. Messages may be lost; none is sent twice or out of order on one connection. */
@FunctionalInterface
public interface PeerMessenger {

    /**
     * Hands a message over without waiting.
     *
     * @param to the receiver; unknown or unreachable ones lose the message
     * @param frame the message
     */
    void send(VmName to, Frame frame);
}
