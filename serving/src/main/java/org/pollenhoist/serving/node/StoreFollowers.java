package org.pollenhoist.serving.node;

import java.util.Collection;
import org.pollenhoist.routing.Rendezvous;

/**
 * Which VMs of a failure domain follow the store; the others hear of its changes from them. Each VM decides for itself
 * by those it hears.
 *
 * <p>Answers fleets of hundreds of VMs, whose watches together would be most of what the store is asked.
 */
final class StoreFollowers {

    /** VMs of a failure domain that follow the store: with one of them lost, changes still come. */
    static final int FOLLOWERS = 2;

    /**
     * A peer of the failure domain that is heard.
     *
     * @param vm its name
     * @param isFollowing whether it says that it follows the store and has heard of it just now
     */
    record Peer(String vm, boolean isFollowing) {}

    private StoreFollowers() {}

    /**
     * Tells whether a VM has to follow the store.
     *
     * @param failureDomain its failure domain
     * @param vm its name
     * @param peers the peers of its failure domain that it hears
     * @return true where it is one of the first by rank, or none of those follows the store now
     */
    static boolean mustFollow(String failureDomain, String vm, Collection<Peer> peers) {
        long key = Rendezvous.hash("store " + failureDomain);
        long own = Rendezvous.weight(key, vm);
        long before = peers.stream()
                .filter(peer -> Rendezvous.weight(key, peer.vm()) > own)
                .count();
        return before < FOLLOWERS || peers.stream().noneMatch(Peer::isFollowing);
    }
}
