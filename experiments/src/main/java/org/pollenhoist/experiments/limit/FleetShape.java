package org.pollenhoist.experiments.limit;

import java.util.ArrayList;
import java.util.List;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.VmName;

/**
 * The VMs of a fleet.
 *
 * @param domainOfVm the number of the failure domain of each VM
 * @param domains how many failure domains there are
 */
public record FleetShape(List<Integer> domainOfVm, int domains) {

    /** Copies the list. */
    public FleetShape {
        domainOfVm = List.copyOf(domainOfVm);
    }

    /**
     * Spreads VMs over failure domains.
     *
     * @param vms how many VMs
     * @param domains how many failure domains
     * @return the shape
     */
    public static FleetShape of(int vms, int domains) {
        List<Integer> domainOfVm = new ArrayList<>();
        for (int vm = 0; vm < vms; vm++) {
            domainOfVm.add(vm % domains);
        }
        return new FleetShape(domainOfVm, domains);
    }

    /**
     * Returns how many VMs there are.
     *
     * @return the number
     */
    public int vms() {
        return domainOfVm.size();
    }

    VmName name(int vm) {
        return VmName.of("domain" + domainOfVm.get(vm) + "-vm" + vm);
    }

    FailureDomain domain(int vm) {
        return FailureDomain.of("domain" + domainOfVm.get(vm));
    }

    /** Returns the VMs that a VM talks to: its failure domain, and a few members of each other one. */
    List<Integer> peers(int vm, int membersOfOtherDomains) {
        List<Integer> peers = new ArrayList<>();
        for (int other = 0; other < vms(); other++) {
            boolean isNear = domainOfVm.get(other).equals(domainOfVm.get(vm));
            boolean isGateway = rankInDomain(other) < membersOfOtherDomains && rankInDomain(vm) < membersOfOtherDomains;
            if (other != vm && (isNear || isGateway)) {
                peers.add(other);
            }
        }
        return peers;
    }

    private int rankInDomain(int vm) {
        int rank = 0;
        for (int other = 0; other < vm; other++) {
            rank += domainOfVm.get(other).equals(domainOfVm.get(vm)) ? 1 : 0;
        }
        return rank;
    }
}
