package org.pollenhoist.serving.node;

import java.util.Collection;
import org.pollenhoist.routing.Rendezvous;

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
     * By how many times the widest link of a failure domain may exceed another one that ranks alike. Followers move
     * only for a gain that is worth it.
     */
    private static final long MAX_RATIO_OF_EQUAL_LINKS = 2;

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
     * Returns whether a VM has to watch the store. Of VMs that know different peers for a moment, one more or one fewer
     * than {@link #FOLLOWERS_PER_DOMAIN} may take that on until the next reports; a VM whose peers all report that they
     * do not watch the store watches it in any case.
     *
     * @param failureDomain its failure domain
     * @param vm its name
     * @param linkMegabits the bandwidth of its link in megabits per second, 0 if unknown
     * @param peers the peers of its failure domain with a recent report
     * @return true if it is among the VMs with the highest rendezvous weights, where those with a link of at least half
     *     of the widest one that is known precede all others, or if no peer watches the store now
     */
    static boolean mustFollow(String failureDomain, String vm, int linkMegabits, Collection<Peer> peers) {
        long key = Rendezvous.hash("store " + failureDomain);
        long own = Rendezvous.weight(key, vm);
        int widest = peers.stream().mapToInt(Peer::linkMegabits).reduce(linkMegabits, Math::max);
        boolean isWide = isWide(linkMegabits, widest);
        long preceding = peers.stream()
                .filter(peer -> isWide(peer.linkMegabits(), widest) == isWide
                        ? Rendezvous.weight(key, peer.vm()) > own
                        : !isWide)
                .count();
        return preceding < FOLLOWERS_PER_DOMAIN || peers.stream().noneMatch(Peer::isFollowing);
    }

    private static boolean isWide(int linkMegabits, int widest) {
        return linkMegabits * MAX_RATIO_OF_EQUAL_LINKS >= widest;
    }
}
