package org.pollenhoist.serving.node;

import java.util.Collection;

/**
 * Decides which VM sends the summary of its failure domain to the other domains. Each VM decides by itself from the
 * peers it has reports of. Therefore two VMs may be representative for a moment, or none until an unresponsive one has
 * timed out; receivers allow for both.
 */
final class DomainRepresentative {

    private DomainRepresentative() {}

    /**
     * Returns whether a VM is the representative of its failure domain.
     *
     * @param failureDomain the failure domain
     * @param vm the VM
     * @param peers the other VMs of the failure domain that the VM has recent reports of
     * @return true if it ranks before all of them by link and rendezvous weight
     */
    static boolean isRepresentative(
            String failureDomain, LinkRanking.Candidate vm, Collection<LinkRanking.Candidate> peers) {
        return LinkRanking.countPreceding(failureDomain, vm, peers) == 0;
    }
}
