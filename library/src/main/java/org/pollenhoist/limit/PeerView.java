package org.pollenhoist.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.pollenhoist.common.VmName;

/** What this process knows of its peers' shares of one team. Not thread-safe. */
final class PeerView {

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final Map<VmName, Known> peers = new HashMap<>();

    /** What a peer told last. */
    private static final class Known {
        private boolean isTold;
        private double level;
        private double capacity;
        private double rate;
        private double demand;
        private long toldAt;
    }

    /** A peer with the amount it can probably give. */
    record Candidate(VmName peer, double amount) {}

    void setPeers(Collection<VmName> names) {
        peers.keySet().retainAll(names);
        names.forEach(name -> peers.computeIfAbsent(name, ignored -> new Known()));
    }

    boolean isEmpty() {
        return peers.isEmpty();
    }

    int size() {
        return peers.size();
    }

    void onStatus(VmName peer, ShareMessage.TeamStatus status, TeamLimit limit, long now) {
        Known known = peers.computeIfAbsent(peer, ignored -> new Known());
        known.isTold = true;
        known.level = status.levelTokens();
        known.capacity = Parts.amount(status.burstParts(), limit.burstTokens());
        known.rate = Parts.amount(status.rateParts(), limit.tokensPerSecond());
        known.demand = status.demandTokensPerSecond();
        known.toldAt = now;
    }

    void onLevel(VmName peer, double level, long now) {
        Known known = peers.get(peer);
        if (known != null) {
            known.level = level;
            known.toldAt = now;
        }
    }

    /** Returns the tokens that the peers probably hold; a peer that told nothing yet counts as given. */
    double level(long now, double unknownPeer) {
        double sum = 0;
        for (Known known : peers.values()) {
            sum += known.isTold ? level(known, now) : unknownPeer;
        }
        return sum;
    }

    /** Returns the peers that probably hold tokens, the richest first. */
    List<Candidate> byLevel(long now, double unknownPeer) {
        return candidates(known -> known.isTold ? level(known, now) : unknownPeer);
    }

    /** Returns the peers by how full they probably are, as a part of their capacity, the fullest first. */
    List<Candidate> byFullness(long now) {
        return candidates(known -> known.capacity <= 0 ? 0 : level(known, now) / known.capacity);
    }

    /** Returns the peers by unused capacity, in tokens, the most first. */
    List<Candidate> byRoom(long now) {
        return candidates(known -> known.capacity - level(known, now));
    }

    /** Returns the capacity that a peer told, in tokens. */
    double capacity(VmName peer) {
        return peers.get(peer).capacity;
    }

    /** Returns the peers that probably have rate to spare, in tokens per second, the richest first. */
    List<Candidate> bySpareRate(double headroomFactor) {
        return candidates(known -> known.rate - headroomFactor * known.demand);
    }

    private List<Candidate> candidates(ToDoubleFunction<Known> amount) {
        List<Candidate> candidates = new ArrayList<>();
        peers.forEach((peer, known) -> {
            double available = amount.applyAsDouble(known);
            if (available > 0) {
                candidates.add(new Candidate(peer, available));
            }
        });
        candidates.sort(Comparator.comparingDouble(Candidate::amount).reversed().thenComparing(Candidate::peer));
        return candidates;
    }

    private static double level(Known known, long now) {
        double age = Math.max(0, (now - known.toldAt) / NANOSECONDS_PER_SECOND);
        return Math.min(known.capacity, known.level + known.rate * age);
    }
}
