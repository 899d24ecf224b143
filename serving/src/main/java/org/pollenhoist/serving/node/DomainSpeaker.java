package org.pollenhoist.serving.node;

import java.util.Collection;
import org.pollenhoist.routing.Rendezvous;

/**
 * Which VM tells other failure domains the sums of its own. Each VM decides for itself by those it hears, so that two
 * may speak for a moment, or none until a silent one is given up; whoever hears them allows for both.
 */
final class DomainSpeaker {

    private DomainSpeaker() {}

    /**
     * Tells whether a VM speaks for its failure domain.
     *
     * @param failureDomain the failure domain
     * @param vm the VM
     * @param heard the other VMs of the failure domain that it hears
     * @return true where no other one ranks before it
     */
    static boolean isSpeaker(String failureDomain, String vm, Collection<String> heard) {
        long key = Rendezvous.hash(failureDomain);
        long own = Rendezvous.weight(key, vm);
        return heard.stream().allMatch(other -> Rendezvous.weight(key, other) < own);
    }
}
