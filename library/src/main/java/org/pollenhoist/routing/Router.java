package org.pollenhoist.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;

/**
 * Chooses the upstream with the least expected delay among a few random candidates and the one with the longest cached
 * prefix. Comparing few random ones keeps VMs with the same stale reports from choosing the same upstream at once.
 */
public final class Router {

    private static final DecisionLog LOG = DecisionLog.of("routing");

    private final UpstreamTable table;
    private final RoutingPolicy policy;
    private final RandomGenerator random;

    private record Priced(Candidate candidate, double seconds) {}

    /**
     * Creates a router over a table.
     *
     * @param table what is known of the upstreams
     * @param policy the prices
     * @param random the source of randomness, safe for use by several threads or used by one only
     */
    public Router(UpstreamTable table, RoutingPolicy policy, RandomGenerator random) {
        this.table = table;
        this.policy = policy;
        this.random = random;
    }

    /**
     * Chooses an upstream and counts the request there.
     *
     * @param request the request
     * @param now the present time
     * @return the upstream with the handle that ends the count, or why there is none
     */
    public RoutingDecision choose(RoutingRequest request, MonotonicTime now) {
        RoutingDecision decision = table.choose(request, now, candidates -> choose(request, candidates));
        log(request, decision);
        return decision;
    }

    private RoutingChoice choose(RoutingRequest request, CandidateSet candidates) {
        if (candidates.inPool() == 0) {
            return refuse(RoutingReason.EMPTY_POOL);
        }
        if (candidates.holding() == 0) {
            return refuse(RoutingReason.MODEL_NOT_RESIDENT);
        }
        if (candidates.available().isEmpty()) {
            return refuse(RoutingReason.NONE_AVAILABLE);
        }
        return cheapest(request, candidates.available());
    }

    private RoutingChoice cheapest(RoutingRequest request, List<Candidate> available) {
        double meanOfOthers = available.stream()
                .mapToInt(Candidate::requestsOfOthers)
                .average()
                .orElse(0);
        List<Candidate> affine = affine(request, available);
        Priced best = null;
        for (Candidate candidate : compared(available, affine)) {
            int cachedBlocks = expectedBlocks(request, candidate, affine);
            Priced priced = new Priced(candidate, seconds(request, candidate, cachedBlocks, meanOfOthers));
            if (best == null || priced.seconds() < best.seconds()) {
                best = priced;
            }
        }
        return new RoutingChoice.Take(best.candidate(), reason(best.candidate(), available.size()));
    }

    private static RoutingReason reason(Candidate chosen, int available) {
        if (chosen.isHalfOpen()) {
            return RoutingReason.PROBE;
        }
        if (available == 1) {
            return RoutingReason.ONLY_CANDIDATE;
        }
        return chosen.cachedBlocks() > 0 ? RoutingReason.CACHED_PREFIX : RoutingReason.LEAST_COST;
    }

    /**
     * The upstreams that all VMs prefer for the prompt's first block, by rendezvous hashing: without a message between
     * them they send prompts with the same beginning to the same few upstreams.
     */
    private List<Candidate> affine(RoutingRequest request, List<Candidate> available) {
        if (request.prefixFingerprints().isEmpty()) {
            return List.of();
        }
        long firstBlock = request.prefixFingerprints().getFirst();
        return available.stream()
                .sorted(Comparator.comparingLong(
                                (Candidate candidate) -> Rendezvous.weight(firstBlock, candidate.upstream()))
                        .reversed())
                .limit(policy.affineUpstreams())
                .toList();
    }

    /** Blocks known to be cached, or a share of the prompt where other VMs send prompts with the same beginning. */
    private int expectedBlocks(RoutingRequest request, Candidate candidate, List<Candidate> affine) {
        int rank = affine.indexOf(candidate);
        if (rank < 0) {
            return candidate.cachedBlocks();
        }
        int blocks = request.prefixFingerprints().size();
        return Math.max(candidate.cachedBlocks(), (int) (blocks * policy.affineShare() / (rank + 1)));
    }

    /** A few random candidates, the affine ones, and the one with the longest cached prefix. */
    private List<Candidate> compared(List<Candidate> available, List<Candidate> affine) {
        List<Candidate> rest = new ArrayList<>(available);
        rest.removeAll(affine);
        List<Candidate> compared = new ArrayList<>(affine);
        int wanted = affine.size() + policy.samples();
        while (compared.size() < wanted && !rest.isEmpty()) {
            compared.add(rest.remove(random.nextInt(rest.size())));
        }
        rest.stream()
                .filter(candidate -> candidate.cachedBlocks() > 0)
                .max((left, right) -> Integer.compare(left.cachedBlocks(), right.cachedBlocks()))
                .ifPresent(compared::add);
        return compared;
    }

    private double seconds(RoutingRequest request, Candidate candidate, int cachedBlocks, double meanOfOthers) {
        double load = candidate.ownInFlight() + discounted(candidate, meanOfOthers);
        int missingBlocks = request.prefixFingerprints().size() - cachedBlocks;
        double seconds = load * seconds(policy.perRequest()) + missingBlocks * seconds(policy.perBlock());
        if (!candidate.hasAdapter()) {
            seconds += seconds(policy.adapterLoad());
        }
        if (!candidate.failureDomain().equals(request.origin())) {
            seconds += seconds(policy.otherDomain());
        }
        return seconds;
    }

    /** The reported load of others counts less the older it is; the mean over the candidates takes its place. */
    private double discounted(Candidate candidate, double meanOfOthers) {
        if (candidate.reportAge() == null) {
            return meanOfOthers;
        }
        double halfLives = seconds(candidate.reportAge()) / seconds(policy.reportHalfLife());
        double weight = Math.pow(0.5, halfLives);
        return weight * candidate.requestsOfOthers() + (1 - weight) * meanOfOthers;
    }

    private RoutingChoice refuse(RoutingReason reason) {
        return new RoutingChoice.Refuse(reason, policy.retryAfter());
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / 1e9;
    }

    private static void log(RoutingRequest request, RoutingDecision decision) {
        String model = request.target().model().map(Object::toString).orElse("none");
        switch (decision) {
            case RoutingDecision.Chosen chosen ->
                LOG.event(
                        "route",
                        "pool",
                        request.target().pool(),
                        "model",
                        model,
                        "upstream",
                        chosen.upstream(),
                        "reason",
                        chosen.reason().text());
            case RoutingDecision.NoUpstream none ->
                LOG.event(
                        "no_upstream",
                        "pool",
                        request.target().pool(),
                        "model",
                        model,
                        "reason",
                        none.reason().text(),
                        "retry_after_ms",
                        none.retryAfter().toMillis());
        }
    }
}
