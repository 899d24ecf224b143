package org.pollenhoist.standins.platform;

import java.util.List;

/**
 * An entry of the list of VMs.
 *
 * @param name the VM's name
 * @param address IP number
 * @param port TCP port
 * @param failureDomain where it stands
 * @param leaving whether it is about to stop
 */
public record VmEntry(String name, String address, int port, String failureDomain, boolean leaving) {

    /**
     * The list of VMs.
     *
     * @param vms the entries
     */
    public record VmList(List<VmEntry> vms) {

        /** Copies the entries. */
        public VmList {
            vms = vms == null ? List.of() : List.copyOf(vms);
        }
    }

    /**
     * A change of the list, as sent to {@code PUT /faults/vms}.
     *
     * @param vms the new entries
     * @param lagMilliseconds how long the old list still answers
     */
    public record VmListChange(List<VmEntry> vms, long lagMilliseconds) {

        /** Copies the entries. */
        public VmListChange {
            vms = vms == null ? List.of() : List.copyOf(vms);
        }
    }
}
