package org.pollenhoist.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.common.VmName;

/** Divides the polling of a failure domain's upstreams among its VMs: one VM polls each and tells the others. */
public final class PollerAssignment {

    /** What a node may spend on load digests, sent and received: half of its 16 KB/s for control. */
    private static final int BUDGET_BYTES_PER_SECOND = 8 * 1_024;

    /** Size of an upstream's entry with the share of its residents in one round, rounded up. */
    private static final int ENTRY_BYTES = 48;

    /** Frame, TCP and IP headers of one digest, with the share of an acknowledgement. */
    private static final int DIGEST_BYTES = 100;

    private static final long SHORTEST_INTERVAL_MILLISECONDS = 250;

    private PollerAssignment() {}

    /**
     * Returns the upstreams that a VM polls.
     *
     * @param self the VM
     * @param vms the VMs of the failure domain that are up, {@code self} included
     * @param upstreams the failure domain's upstreams
     * @return those that {@code self} polls
     */
    public static Set<UpstreamName> assignedTo(
            VmName self, Collection<VmName> vms, Collection<UpstreamName> upstreams) {
        Set<UpstreamName> assigned = new TreeSet<>();
        for (UpstreamName upstream : upstreams) {
            long key = Rendezvous.hash(upstream.value());
            if (Rendezvous.rank(key, vms).getFirst().equals(self)) {
                assigned.add(upstream);
            }
        }
        return assigned;
    }

    /**
     * Returns how often a VM polls its upstreams and sends its digest, so that the digests fit a node's budget.
     *
     * @param vms the VMs of the failure domain
     * @param upstreams the upstreams of the failure domain
     * @return the interval
     */
    public static Duration digestInterval(int vms, int upstreams) {
        double receivedBytes = (double) upstreams * ENTRY_BYTES + (double) (vms - 1) * DIGEST_BYTES;
        double seconds = 2 * receivedBytes / BUDGET_BYTES_PER_SECOND;
        long milliseconds = (long) Math.ceil(seconds * 1_000);
        return Duration.ofMillis(Math.max(SHORTEST_INTERVAL_MILLISECONDS, milliseconds));
    }
}
