package org.pollenhoist.serving.routing;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.catalog.Engine;
import org.pollenhoist.serving.catalog.Model;
import org.pollenhoist.serving.catalog.Service;
import org.pollenhoist.serving.upstream.LoadSnapshot;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamPace;
import org.pollenhoist.serving.upstream.UpstreamTable;

/**
 * Selects the upstream of a request: among the upstreams that have loaded its model and adapter, the one with the
 * lowest cost, which is the expected wait plus penalties. A request that no upstream can answer in time is refused at
 * once; a request that could still be answered in time waits for capacity.
 *
 * <p>The estimate includes prompt lengths because a few models may receive most of the requests: without them, long
 * prompts queue at one engine while another one is idle.
 *
 * <p>Latency-tolerant requests wait here when engines are overloaded: an engine processes prompts in the order of their
 * arrival, so latency-tolerant requests would otherwise lengthen its queue until more urgent ones miss their latency
 * objective. All requests of a kind are admitted by their mean prompt length, so that short prompts, which could meet
 * their objective behind a longer queue, don't crowd out long ones.
 */
public final class UpstreamSelector {

    /** Cost of each running request, which makes the decoding steps of an engine longer. */
    private static final double MILLISECONDS_PER_RUNNING_REQUEST = 2;

    /**
     * Penalty for an upstream in another failure domain. Traffic between failure domains is charged for, and an
     * additional wait of a tenth of the usual latency objectives is acceptable.
     */
    private static final double OTHER_DOMAIN_PENALTY_MILLISECONDS = 80;

    /** Fraction of slots in use up to which an upstream of a plain service is considered as fast as an idle one. */
    private static final double UNCONTENDED_SLOT_FRACTION = 0.5;

    /** Part of the latency objective of a plain service that its work takes at the usual pace. */
    private static final double WORK_FRACTION = 0.2;

    /** Penalty for an upstream whose failure rate is 1; smaller failure rates are charged in proportion. */
    private static final double FAILURE_PENALTY_MILLISECONDS = 2_000;

    /** Penalty for an upstream that has failed an earlier attempt of this request. */
    private static final double FAILED_ATTEMPT_PENALTY_MILLISECONDS = 20_000;

    /** Penalty for an upstream that was recently unreachable. */
    private static final double UNREACHABLE_PENALTY_MILLISECONDS = 5_000;

    /** Maximum number of requests per slot of a plain service: it queues a few requests itself and rejects the rest. */
    private static final double MAXIMUM_REQUESTS_PER_SLOT = 2;

    /**
     * Fraction of an engine's memory that requests may reserve; the rest is headroom for requests that peers have sent
     * since their last report.
     */
    private static final double RESERVABLE_MEMORY_FRACTION = 0.95;

    /**
     * Fraction of the latency objective up to which a wait is accepted. Under overload, a longer queue would make
     * every response late and serve no more requests.
     */
    private static final double ACCEPTED_WAIT_FRACTION = 0.9;

    /**
     * Fraction of the latency objective up to which the backlog of an engine is ignored: the request is sent even if it
     * will be late, since refusing it would leave the engine idle.
     */
    private static final double IGNORED_BACKLOG_FRACTION = 0.25;

    /** A request is latency-tolerant if its latency objective is at least this multiple of the shortest one. */
    private static final double LATENCY_TOLERANT_FACTOR = 2;

    /**
     * Fraction of the shortest latency objective up to which latency-tolerant requests may fill the backlog of an
     * engine; the rest is left to more urgent requests.
     */
    private static final double TOLERANT_BACKLOG_FRACTION = 0.5;

    /** Fraction of its latency objective after which a latency-tolerant request is no longer held back. */
    private static final double TOLERANT_WAIT_FRACTION = 0.5;

    /** Earliest return of a caller whose request did not get capacity at an upstream in time. */
    private static final Duration CAPACITY_RETRY = Duration.ofMillis(700);

    /** How much later than expected a load of a model may complete. */
    private static final Duration LOAD_COMPLETION_TOLERANCE = Duration.ofMillis(1_500);

    /** Retry time for a caller whose request finds no upstream; a replaced upstream is available again by then. */
    private static final Duration NO_UPSTREAM_RETRY = Duration.ofSeconds(1);

    private final String failureDomain;
    private final PrefillRateEstimator prefillRates;

    /**
     * Creates a selector.
     *
     * @param failureDomain the failure domain of this VM
     * @param prefillRates estimates the prefill times of engines
     */
    public UpstreamSelector(String failureDomain, PrefillRateEstimator prefillRates) {
        this.failureDomain = failureDomain;
        this.prefillRates = prefillRates;
    }

    /**
     * Decides whether a request is sent to an upstream, waits or is refused.
     *
     * @param request the request
     * @param service the service that it requests
     * @param table the known upstreams
     * @param now the current time
     * @return the decision
     */
    public Selection select(SelectionRequest request, Service service, UpstreamTable table, MonotonicTime now) {
        List<Upstream> available = table.usable(service.name())
                .filter(upstream ->
                        !request.excluded().contains(upstream.description().identifier()))
                .filter(upstream -> request.accepts(upstream.description().softwareVersion()))
                .toList();
        if (available.isEmpty()) {
            return new Selection.Refuse(reasonWithoutUpstream(request), NO_UPSTREAM_RETRY);
        }
        if (service.engine().isPresent() && !request.model().isEmpty()) {
            return selectEngine(request, service.engine().get(), available, now);
        }
        return selectPlain(request, available, now);
    }

    private static String reasonWithoutUpstream(SelectionRequest request) {
        return request.softwareVersions().isEmpty() ? "no_upstream" : "no_upstream_of_version";
    }

    private static List<Upstream> acceptingRequests(List<Upstream> upstreams, MonotonicTime now) {
        return upstreams.stream()
                .filter(upstream -> upstream.acceptsRequests(now))
                .toList();
    }

    /** Decides on a request for which no suitable upstream accepts a request from this VM now. */
    private static Selection awaitAcceptance(
            SelectionRequest request, List<Upstream> suitable, boolean isPlacementUseful, MonotonicTime now) {
        Upstream first = suitable.stream()
                .min(Comparator.comparing(upstream -> upstream.timeUntilNextRequest(now)))
                .orElseThrow();
        Duration wait = first.timeUntilNextRequest(now);
        boolean isLimited = first.rateLimit().isLimited(now);
        String reason = isLimited ? "upstreams_rate_limited" : "upstreams_paused";
        return isTooLate(request, wait, now)
                ? new Selection.Refuse(reason, isLimited ? wait.plus(spread(request, wait)) : wait)
                : new Selection.Wait(
                        reason, isPlacementUseful && first.rateLimit().isObservedLimited(now));
    }

    /** Spreads the callers that are told to return, since the upstream accepts them one at a time. */
    private static Duration spread(SelectionRequest request, Duration wait) {
        return Duration.ofNanos(Math.floorMod(request.waitingSince().nanoseconds(), Math.max(1, wait.toNanos())));
    }

    private Selection selectPlain(SelectionRequest request, List<Upstream> available, MonotonicTime now) {
        List<Upstream> usable = acceptingRequests(available, now);
        if (usable.isEmpty()) {
            return awaitAcceptance(request, available, false, now);
        }
        Upstream best = null;
        double bestCost = Double.MAX_VALUE;
        for (Upstream candidate : usable) {
            int running = candidate.load(now).running();
            int slots = Math.max(1, candidate.description().slots());
            if (running >= slots * MAXIMUM_REQUESTS_PER_SLOT) {
                continue;
            }
            // Requests wait only once all slots are occupied; an upstream without a free slot costs as much as a wait
            // of the whole latency objective.
            double utilization = Math.max(0, running - slots * UNCONTENDED_SLOT_FRACTION)
                    / (slots * (1 - UNCONTENDED_SLOT_FRACTION));
            double pace = candidate.pace().at(now);
            double slowdown = (pace - UpstreamPace.USUAL) * WORK_FRACTION;
            double cost =
                    (utilization * pace + slowdown) * request.latencyObjective().toMillis()
                            + penalty(candidate, request, now);
            if (cost < bestCost) {
                bestCost = cost;
                best = candidate;
            }
        }
        if (best == null) {
            return isTooLate(request, Duration.ZERO, now)
                    ? Selection.Refuse.forRoom("upstreams_full", CAPACITY_RETRY)
                    : new Selection.Wait("upstreams_full", false);
        }
        return new Selection.Send(best, Duration.ofMillis((long) bestCost), "least_cost", PrefillSaving.NONE);
    }

    private Selection selectEngine(
            SelectionRequest request, Engine engine, List<Upstream> available, MonotonicTime now) {
        List<Upstream> allWithModel = available.stream()
                .filter(upstream -> upstream.hasLoaded(request.model(), request.adapter()))
                .toList();
        if (allWithModel.isEmpty()) {
            return awaitPlacement(request, engine, available, now);
        }
        List<Upstream> candidates = acceptingRequests(allWithModel, now);
        if (candidates.isEmpty()) {
            return awaitAcceptance(request, allWithModel, true, now);
        }
        Upstream best = null;
        double bestCost = Double.MAX_VALUE;
        Backlog bestBacklog = Backlog.NONE;
        for (Upstream candidate : candidates) {
            LoadSnapshot load = candidate.load(now);
            if (!hasCapacity(load, request, engine)) {
                continue;
            }
            PrefillSaving saving = PrefillSaving.at(candidate, load, request, engine, now);
            double pace = candidate.pace().at(now);
            Backlog backlog = backlog(load, request, saving, pace);
            double cost = backlog.untilFirstToken().toMillis()
                    + load.running() * MILLISECONDS_PER_RUNNING_REQUEST * pace
                    + penalty(candidate, request, now);
            if (cost < bestCost) {
                bestCost = cost;
                bestBacklog = backlog;
                best = candidate;
            }
        }
        if (best == null) {
            return isTooLate(request, Duration.ZERO, now)
                    ? Selection.Refuse.forRoom("engines_full", CAPACITY_RETRY)
                    : new Selection.Wait("engines_full", false);
        }
        if (isTooLateBehind(bestBacklog, request, now)) {
            return Selection.Refuse.forRoom("too_late_for_all_engines", bestBacklog.untilFirstToken());
        }
        if (yieldsToUrgentRequests(bestBacklog, request, now)) {
            return new Selection.Wait("engines_backlogged", false);
        }
        return new Selection.Send(best, bestBacklog.untilFirstToken(), "least_cost", bestBacklog.saving());
    }

    /**
     * The estimated prefill work of an engine until the first token of a request.
     *
     * @param ahead prefill time of the prompts ahead of it
     * @param own prefill time of its own prompt
     * @param mean prefill time of a prompt with the mean length of its kind
     * @param saving what its own prefill is expected to lack because the engine keeps the beginning of its prompt
     */
    private record Backlog(Duration ahead, Duration own, Duration mean, PrefillSaving saving) {

        private static final Backlog NONE =
                new Backlog(Duration.ZERO, Duration.ZERO, Duration.ZERO, PrefillSaving.NONE);

        private Duration untilFirstToken() {
            return ahead.plus(own);
        }
    }

    private Backlog backlog(LoadSnapshot load, SelectionRequest request, PrefillSaving saving, double pace) {
        return new Backlog(
                prefillTime(request.model(), load.tokensAwaitingPrefill(), pace),
                prefillTime(request.model(), request.promptTokens() - saving.keptTokens(), pace),
                prefillTime(request.model(), request.meanPromptTokens() - saving.keptTokens(), pace),
                saving);
    }

    private Duration prefillTime(String model, long tokens, double pace) {
        return fractionOf(prefillRates.estimate(model, tokens), pace);
    }

    /**
     * Whether a request is refused because of the backlog: its caller would have disconnected before the first token,
     * or a prompt of the mean length of its kind would be late.
     */
    private static boolean isTooLateBehind(Backlog backlog, SelectionRequest request, MonotonicTime now) {
        if (request.firstEventDeadline().isBefore(now.plus(backlog.untilFirstToken()))) {
            return true;
        }
        boolean isAlmostIdle =
                backlog.ahead().compareTo(fractionOf(request.latencyObjective(), IGNORED_BACKLOG_FRACTION)) <= 0;
        return !isAlmostIdle && isTooLate(request, backlog.ahead().plus(backlog.mean()), now);
    }

    /**
     * Whether a latency-tolerant request waits here, to leave capacity at the engines to more urgent requests of the
     * same and of higher priorities.
     */
    private static boolean yieldsToUrgentRequests(Backlog backlog, SelectionRequest request, MonotonicTime now) {
        Duration shortest = request.shortestObjectives().headMap(request.priority(), true).values().stream()
                .min(Duration::compareTo)
                .orElse(request.latencyObjective());
        boolean isLatencyTolerant =
                request.latencyObjective().compareTo(fractionOf(shortest, LATENCY_TOLERANT_FACTOR)) >= 0;
        Duration expectedLatency = now.since(request.waitingSince()).plus(backlog.mean());
        boolean hasTimeLeft =
                expectedLatency.compareTo(fractionOf(request.latencyObjective(), TOLERANT_WAIT_FRACTION)) < 0;
        return isLatencyTolerant
                && hasTimeLeft
                && backlog.ahead().compareTo(fractionOf(shortest, TOLERANT_BACKLOG_FRACTION)) > 0;
    }

    private static Duration fractionOf(Duration whole, double fraction) {
        return Duration.ofMillis(Math.round(whole.toMillis() * fraction));
    }

    /**
     * Whether a response would come after the caller has disconnected, or so late that it is of little use and only
     * delays the responses of other requests.
     */
    private static boolean isTooLate(SelectionRequest request, Duration wait, MonotonicTime now) {
        MonotonicTime responseAt = now.plus(wait);
        Duration acceptedWait = fractionOf(request.latencyObjective(), ACCEPTED_WAIT_FRACTION);
        return request.firstEventDeadline().isBefore(responseAt)
                || request.waitingSince().plus(acceptedWait).isBefore(responseAt);
    }

    private static boolean hasCapacity(LoadSnapshot load, SelectionRequest request, Engine engine) {
        boolean hasMemory = load.running() == 0
                || load.reservedTokens() + request.totalTokens() <= engine.memoryTokens() * RESERVABLE_MEMORY_FRACTION;
        return load.running() < engine.slots() && hasMemory;
    }

    /** Decides on a request whose model or adapter no upstream has loaded: it waits if that can be loaded in time. */
    private static Selection awaitPlacement(
            SelectionRequest request, Engine engine, List<Upstream> usable, MonotonicTime now) {
        Model model = engine.models().get(request.model());
        if (model == null) {
            return new Selection.Refuse("unknown_model", NO_UPSTREAM_RETRY);
        }
        if (usable.stream().anyMatch(upstream -> upstream.hasLoaded(request.model(), ""))) {
            return isTooLate(request, Duration.ZERO, now)
                    ? new Selection.Refuse("adapter_not_loaded", NO_UPSTREAM_RETRY)
                    : new Selection.Wait("adapter_not_loaded", true);
        }
        Duration load = loadTime(model, usable);
        Optional<MonotonicTime> loadEnd = usable.stream()
                .flatMap(
                        upstream -> Optional.ofNullable(upstream.loadingModels().get(request.model())).stream())
                .min(MonotonicTime::compareTo);
        // A load in progress may complete a little late; a new one starts once the placement leader has received the
        // model request.
        MonotonicTime expected =
                loadEnd.map(time -> time.plus(LOAD_COMPLETION_TOLERANCE)).orElse(now.plus(load));
        boolean isInTime = expected.isBefore(request.firstEventDeadline()) && now.isBefore(expected);
        return isInTime ? new Selection.Wait("model_not_loaded", true) : new Selection.Refuse("model_not_loaded", load);
    }

    private static Duration loadTime(Model model, List<Upstream> usable) {
        return model.loadTime(usable.stream()
                .anyMatch(upstream -> upstream.description().localCopies().contains(model.name())));
    }

    private double penalty(Upstream candidate, SelectionRequest request, MonotonicTime now) {
        double penalty = candidate.failureRate(now) * FAILURE_PENALTY_MILLISECONDS;
        if (!candidate.description().failureDomain().equals(failureDomain)) {
            penalty += OTHER_DOMAIN_PENALTY_MILLISECONDS;
        }
        if (candidate.isRecentlyUnreachable(now)) {
            penalty += UNREACHABLE_PENALTY_MILLISECONDS;
        }
        if (request.avoided().contains(candidate.description().identifier())) {
            penalty += FAILED_ATTEMPT_PENALTY_MILLISECONDS;
        }
        return penalty;
    }
}
