package org.pollenhoist.limit;

import org.pollenhoist.common.VmName;

/**
 * A message to send.
 *
 * @param to the VM that is to receive it
 * @param message the message
 */
public record Outgoing(VmName to, ShareMessage message) {}
