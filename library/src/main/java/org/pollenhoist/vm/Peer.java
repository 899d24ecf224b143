package org.pollenhoist.vm;

import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.VmName;

/**
 * A process that this one talks to.
 *
 * @param vm the VM's name
 * @param failureDomain where it stands
 * @param incarnation changes with each start of the process
 */
public record Peer(VmName vm, FailureDomain failureDomain, long incarnation) {}
