package org.pollenhoist.configuration;

import org.pollenhoist.common.VmName;
import org.pollenhoist.vm.generated.Frame;

/**
 * A message that a decision asks to be sent.
 *
 * @param to the receiver
 * @param frame the message
 */
public record PeerFrame(VmName to, Frame frame) {}
