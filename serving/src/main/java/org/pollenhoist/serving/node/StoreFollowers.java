package org.pollenhoist.serving.node;

import java.util.Collection;
import org.pollenhoist.routing.Rendezvous;

/**
 * Decides which VMs of a failure domain watch the store; the others receive its changes from them. Each VM decides by
 * itself from the peers it has reports of.
 *
 * <p>This limits the load on the store in fleets of hundreds of VMs, where watches by all VMs would be most of the
 * requests to the store.
 */
final class StoreFollowers {

    /** Number of store followers per failure domain: if one fails, changes still arrive through the other. */
    static final int FOLLOWERS_PER_DOMAIN = 2;

    /**
     * A peer of the failure domain with a recent report.
     *
     * @param vm its name
     * @param isFollowing whether it reports that it watches the store and is up to date
     */
    record Peer(String vm, boolean isFollowing) {}

    private StoreFollowers() {}

    /**
     * Returns whether a VM has to watch the store.
     *
     * @param failureDomain its failure domain
     * @param vm its name
     * @param peers the peers of its failure domain with a recent report
     * @return true if it is among the VMs with the highest rendezvous weights, or if no peer watches the store now
     */
    static boolean mustFollow(String failureDomain, String vm, Collection<Peer> peers) {
        long key = Rendezvous.hash("store " + failureDomain);
        long own = Rendezvous.weight(key, vm);
        long higherWeights = peers.stream()
                .filter(peer -> Rendezvous.weight(key, peer.vm()) > own)
                .count();
        return higherWeights < FOLLOWERS_PER_DOMAIN || peers.stream().noneMatch(Peer::isFollowing);
    }
}
