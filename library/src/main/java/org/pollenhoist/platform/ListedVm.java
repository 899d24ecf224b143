package org.pollenhoist.platform;

import org.pollenhoist.common.FailureDomain;

/**
 * An entry of the platform's list of VMs: an entry VM or the VM of an upstream.
 *
 * @param name the VM's or upstream's name
 * @param address IP number
 * @param port TCP port of its main service
 * @param failureDomain where it stands
 * @param isLeaving whether the platform is about to stop it
 */
public record ListedVm(String name, String address, int port, FailureDomain failureDomain, boolean isLeaving) {}
