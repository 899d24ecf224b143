package org.pollenhoist.serving.node;

import java.util.Collection;

/**
 * Decides which VMs of a failure domain watch the store; the others receive its changes from them. Each VM decides by
 * itself from the peers it has reports of.
 *
 * <p>This limits the load on the store in fleets of hundreds of VMs, where watches by all VMs would be most of the
 * requests to the store. Since a follower sends each change to half of its failure domain, VMs with wide links come
 * first.
 */
final class StoreFollowers {

    /** Number of store followers per failure domain: if one fails, changes still arrive through the other. */
    static final int FOLLOWERS_PER_DOMAIN = 2;

    /**
     * A peer of the failure domain with a recent report.
     *
     * @param vm its name
     * @param isFollowing whether it reports that it watches the store and is up to date
     * @param linkMegabits the bandwidth of its link in megabits per second, 0 if it names none
     */
    record Peer(String vm, boolean isFollowing, int linkMegabits) {}

    private StoreFollowers() {}

    /**
     * Returns whether a VM has to watch the store. While reports are missing, more VMs than {@link
     * #FOLLOWERS_PER_DOMAIN} watch, or fewer if links are of more than two widths, until the next reports; a VM whose
     * peers all report that they do not watch the store watches it in any case.
     *
     * @param failureDomain its failure domain
     * @param vm its name
     * @param linkMegabits the bandwidth of its link in megabits per second, 0 if unknown
     * @param peers the peers of its failure domain with a recent report
     * @return true if it is among the VMs with the highest rendezvous weights, where those with a link of at least half
     *     of the widest one that is known precede all others, or if no peer watches the store now
     */
    static boolean mustFollow(String failureDomain, String vm, int linkMegabits, Collection<Peer> peers) {
        long preceding = LinkRanking.countPreceding(
                "store " + failureDomain,
                new LinkRanking.Candidate(vm, linkMegabits),
                peers.stream()
                        .map(peer -> new LinkRanking.Candidate(peer.vm(), peer.linkMegabits()))
                        .toList());
        return preceding < FOLLOWERS_PER_DOMAIN || peers.stream().noneMatch(Peer::isFollowing);
    }
}
