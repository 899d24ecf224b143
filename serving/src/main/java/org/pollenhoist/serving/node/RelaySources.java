package org.pollenhoist.serving.node;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.routing.Rendezvous;
import org.pollenhoist.serving.peer.PeerReport;

/**
 * Chooses the peer that this VM asks for changes of the store, so that the VMs that are behind don't all ask the same
 * one. Peers of the own failure domain come first, since traffic between failure domains is billed, and among them
 * those that watch the store; each VM prefers others of these. Confined to the event loop.
 */
final class RelaySources {

    /** How long a peer is not asked again after it has refused since it was sending other relays. */
    static final Duration BUSY_PERIOD = Duration.ofMillis(100);

    /** How long other peers are preferred to one whose relay has failed. */
    static final Duration FAILURE_PERIOD = Duration.ofSeconds(1);

    private final String failureDomain;
    private final long key;
    private final Map<String, MonotonicTime> busyUntil = new HashMap<>();
    private final Map<String, MonotonicTime> failedUntil = new HashMap<>();

    RelaySources(String failureDomain, String vmName) {
        this.failureDomain = failureDomain;
        this.key = Rendezvous.hash(vmName);
    }

    /**
     * Chooses a peer.
     *
     * @param ahead the reports of the peers that know more of the store than this VM
     * @param mayLeaveDomain whether a peer of another failure domain may be asked although one of the own is only busy
     * @param now the current time
     * @return the report of the peer to ask, empty if all that come into question are busy
     */
    Optional<PeerReport> choose(Collection<PeerReport> ahead, boolean mayLeaveDomain, MonotonicTime now) {
        busyUntil.values().removeIf(until -> !now.isBefore(until));
        failedUntil.values().removeIf(until -> !now.isBefore(until));
        boolean isOwnDomainAhead =
                ahead.stream().anyMatch(report -> isOfOwnDomain(report) && !failedUntil.containsKey(name(report)));
        List<PeerReport> candidates = ahead.stream()
                .filter(report -> !busyUntil.containsKey(name(report)))
                .filter(report -> mayLeaveDomain || !isOwnDomainAhead || isOfOwnDomain(report))
                .toList();
        return candidates.stream()
                .min(Comparator.comparing((PeerReport report) -> failedUntil.containsKey(name(report)))
                        .thenComparing(report -> !isOfOwnDomain(report))
                        .thenComparing(report -> !report.digest().getFollowsStore())
                        .thenComparing(report -> Rendezvous.weight(key, name(report)), Comparator.reverseOrder()));
    }

    /** Records that a peer refused since it is sending other relays. */
    void recordBusy(String peer, MonotonicTime now) {
        busyUntil.put(peer, now.plus(BUSY_PERIOD));
    }

    /** Records that a relay of a peer failed. */
    void recordFailure(String peer, MonotonicTime now) {
        failedUntil.put(peer, now.plus(FAILURE_PERIOD));
    }

    private boolean isOfOwnDomain(PeerReport report) {
        return report.digest().getFailureDomain().equals(failureDomain);
    }

    private static String name(PeerReport report) {
        return report.digest().getVmName();
    }
}
