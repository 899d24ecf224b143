package org.pollenhoist.serving.forwarding;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.routing.Rendezvous;

/**
 * Selects the peer that sends a request for this VM: one of the same failure domain if possible, since traffic between
 * failure domains is charged for, and the one with the fewest of this VM's requests. Confined to the event loop.
 */
public final class ForwardingPeers {

    /** How long a peer that declined a request or could not be reached is left out. */
    private static final Duration EXCLUSION = Duration.ofSeconds(1);

    /**
     * A peer that sends requests for others.
     *
     * @param name its name
     * @param failureDomain its failure domain
     * @param address where it receives them
     */
    public record Peer(String name, String failureDomain, InetSocketAddress address) {}

    private final String failureDomain;
    private final Map<String, Integer> running = new HashMap<>();
    private final Map<String, MonotonicTime> excludedUntil = new HashMap<>();

    /**
     * Creates an instance that excludes no peer.
     *
     * @param failureDomain the failure domain of this VM
     */
    public ForwardingPeers(String failureDomain) {
        this.failureDomain = failureDomain;
    }

    /**
     * Selects a peer.
     *
     * @param candidates the peers that send requests for others at present
     * @param request a number of the request, which spreads requests over peers that are equally suitable
     * @param now the current time
     * @return the peer, empty if there is none
     */
    public Optional<Peer> select(Collection<Peer> candidates, long request, MonotonicTime now) {
        return candidates.stream()
                .filter(peer -> !now.isBefore(excludedUntil.getOrDefault(peer.name(), now)))
                .min(Comparator.comparing((Peer peer) -> !peer.failureDomain().equals(failureDomain))
                        .thenComparing(peer -> running.getOrDefault(peer.name(), 0))
                        .thenComparing(peer -> Rendezvous.weight(request, peer.name())));
    }

    void begin(Peer peer) {
        running.merge(peer.name(), 1, Integer::sum);
    }

    void end(Peer peer) {
        running.merge(peer.name(), -1, (one, other) -> one + other == 0 ? null : one + other);
    }

    void exclude(Peer peer, MonotonicTime now) {
        excludedUntil.values().removeIf(until -> !now.isBefore(until));
        excludedUntil.put(peer.name(), now.plus(EXCLUSION));
    }
}
