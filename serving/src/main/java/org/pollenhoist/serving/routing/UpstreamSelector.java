package org.pollenhoist.serving.routing;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.catalog.Engine;
import org.pollenhoist.serving.catalog.Model;
import org.pollenhoist.serving.catalog.Service;
import org.pollenhoist.serving.upstream.LoadSnapshot;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamTable;

/**
 * Chooses the upstream of a request: of those that hold what it needs the one with the shortest expected wait. A
 * request that can't be answered in time by any is refused at once, one that can waits for room.
 *
 * <p>Answers loads in which a few models get most requests: without prompt lengths in the estimate, long prompts pile
 * up at one engine while another one is idle. And loads beyond what engines can read: an engine reads prompts in the
 * order in which they come, so that requests with much time would fill it up to where more urgent ones are too late.
 * They wait here instead. All prompts of a kind are admitted by their mean length, so that short ones, which are in
 * time behind a longer queue, don't crowd long ones out.
 */
public final class UpstreamSelector {

    /** What one more running request adds to the steps of an engine, in milliseconds of wait. */
    private static final double MILLISECONDS_PER_RUNNING = 2;

    /**
     * Advantage of the own failure domain in milliseconds of wait: bytes between domains are paid for, and a wait of a
     * tenth of the usual goals does no harm.
     */
    private static final double OTHER_DOMAIN_MILLISECONDS = 80;

    /** Part of a plain service's slots up to which it is taken to be as quick as an idle one. */
    private static final double UNCROWDED_PART = 0.5;

    /** What an upstream that always fails is worth in milliseconds of wait. */
    private static final double FAILURE_MILLISECONDS = 2_000;

    /** What an upstream that has failed this request is worth in milliseconds of wait. */
    private static final double AVOIDED_MILLISECONDS = 20_000;

    /** What an upstream that could not be reached lately is worth in milliseconds of wait. */
    private static final double SUSPECTED_MILLISECONDS = 5_000;

    /** Requests that a plain service may queue, for each slot: it queues a few itself and rejects the rest. */
    private static final double PLAIN_OVERBOOKING = 2;

    /** Part of an engine's memory that requests may reserve; the rest is headroom for what peers sent meanwhile. */
    private static final double MEMORY_PART = 0.95;

    /**
     * Part of the goal up to which a wait is accepted. Where more comes than engines can read, a longer queue makes
     * every answer late and serves no more of them.
     */
    private static final double WORTHWHILE_GOALS = 0.9;

    /**
     * Part of the goal up to which prompts before it at an engine do not matter: a request goes there even if it will
     * be late, since refusing it would leave the engine idle.
     */
    private static final double FREE_BACKLOG = 0.25;

    /** A request with a goal so many times the shortest one has much time. */
    private static final double MUCH_TIME = 2;

    /** Part of the shortest goal up to which requests with much time fill an engine, so that others find room. */
    private static final double PATIENT_BACKLOG = 0.5;

    /** Part of its goal after which a request with much time no longer waits here for those with less. */
    private static final double PATIENT_GOALS = 0.5;

    /** When a caller is told to come back whose request waited in vain for room. */
    private static final Duration FULL_RETRY = Duration.ofMillis(700);

    /** How much later than expected a load may end. */
    private static final Duration ARRIVAL_TOLERANCE = Duration.ofMillis(1_500);

    /** When a caller whose request finds no upstream is told to come back; a replaced upstream is back by then. */
    private static final Duration NO_UPSTREAM_RETRY = Duration.ofSeconds(1);

    private final String failureDomain;
    private final PrefillRateEstimator pace;

    /**
     * Creates a selector.
     *
     * @param failureDomain the failure domain of this VM
     * @param pace how fast engines read
     */
    public UpstreamSelector(String failureDomain, PrefillRateEstimator pace) {
        this.failureDomain = failureDomain;
        this.pace = pace;
    }

    /**
     * Decides on a request.
     *
     * @param request the request
     * @param service its service
     * @param table the upstreams
     * @param now the present time
     * @return what is to be done with it
     */
    public Selection select(SelectionRequest request, Service service, UpstreamTable table, MonotonicTime now) {
        List<Upstream> present = table.usable(service.name())
                .filter(upstream ->
                        !request.excluded().contains(upstream.description().identifier()))
                .toList();
        if (present.isEmpty()) {
            return new Selection.Refuse("no_upstream", NO_UPSTREAM_RETRY);
        }
        if (service.engine().isPresent() && !request.model().isEmpty()) {
            return selectEngine(request, service.engine().get(), present, now);
        }
        return selectPlain(request, present, now);
    }

    private static List<Upstream> withoutPaused(List<Upstream> upstreams, MonotonicTime now) {
        return upstreams.stream()
                .filter(upstream -> !upstream.isBackingOff(now))
                .toList();
    }

    /** All upstreams that could serve the request have asked to be left alone for a while. */
    private static Selection awaitPaused(SelectionRequest request, List<Upstream> paused, MonotonicTime now) {
        Duration wait = paused.stream()
                .map(upstream -> upstream.backOffEnd().since(now))
                .min(Duration::compareTo)
                .orElse(NO_UPSTREAM_RETRY);
        return isTooLate(request, wait, now)
                ? new Selection.Refuse("upstreams_paused", wait)
                : new Selection.Wait("upstreams_paused", false);
    }

    private Selection selectPlain(SelectionRequest request, List<Upstream> present, MonotonicTime now) {
        List<Upstream> usable = withoutPaused(present, now);
        if (usable.isEmpty()) {
            return awaitPaused(request, present, now);
        }
        Upstream best = null;
        double bestCost = Double.MAX_VALUE;
        for (Upstream candidate : usable) {
            int running = candidate.load(now).running();
            int slots = Math.max(1, candidate.description().slots());
            if (running >= slots * PLAIN_OVERBOOKING) {
                continue;
            }
            // Requests wait only once all slots are taken; a full upstream costs as much as a missed goal.
            double crowded = Math.max(0, running - slots * UNCROWDED_PART) / (slots * (1 - UNCROWDED_PART));
            double cost = crowded * request.latencyObjective().toMillis() + penalty(candidate, request, now);
            if (cost < bestCost) {
                bestCost = cost;
                best = candidate;
            }
        }
        if (best == null) {
            return isTooLate(request, Duration.ZERO, now)
                    ? new Selection.Refuse("upstreams_full", FULL_RETRY)
                    : new Selection.Wait("upstreams_full", false);
        }
        return new Selection.Send(best, Duration.ofMillis((long) bestCost), "least_cost");
    }

    private Selection selectEngine(SelectionRequest request, Engine engine, List<Upstream> present, MonotonicTime now) {
        List<Upstream> allHolders = present.stream()
                .filter(upstream -> upstream.hasLoaded(request.model(), request.adapter()))
                .toList();
        if (allHolders.isEmpty()) {
            return awaitPlacement(request, engine, present, now);
        }
        List<Upstream> holders = withoutPaused(allHolders, now);
        if (holders.isEmpty()) {
            return awaitPaused(request, allHolders, now);
        }
        Upstream best = null;
        double bestCost = Double.MAX_VALUE;
        Backlog bestBacklog = Backlog.NONE;
        for (Upstream candidate : holders) {
            LoadSnapshot load = candidate.load(now);
            if (!hasRoom(load, request, engine)) {
                continue;
            }
            Backlog backlog = backlog(candidate, load, request);
            double cost = backlog.untilFirstToken().toMillis()
                    + load.running() * MILLISECONDS_PER_RUNNING
                    + penalty(candidate, request, now);
            if (cost < bestCost) {
                bestCost = cost;
                bestBacklog = backlog;
                best = candidate;
            }
        }
        if (best == null) {
            return isTooLate(request, Duration.ZERO, now)
                    ? new Selection.Refuse("engines_full", FULL_RETRY)
                    : new Selection.Wait("engines_full", false);
        }
        if (isTooLateBehind(bestBacklog, request, now)) {
            return new Selection.Refuse("too_late_for_all_engines", bestBacklog.untilFirstToken());
        }
        if (isForOthers(bestBacklog, request, now)) {
            return new Selection.Wait("engines_backlogged", false);
        }
        return new Selection.Send(best, bestBacklog.untilFirstToken(), "least_cost");
    }

    /**
     * What an engine reads until a request's first token.
     *
     * @param ahead time for the prompts that came before
     * @param own time for the request's own prompt
     * @param usual time for a prompt of its kind's mean length
     */
    private record Backlog(Duration ahead, Duration own, Duration usual) {

        private static final Backlog NONE = new Backlog(Duration.ZERO, Duration.ZERO, Duration.ZERO);

        private Duration untilFirstToken() {
            return ahead.plus(own);
        }
    }

    private Backlog backlog(Upstream candidate, LoadSnapshot load, SelectionRequest request) {
        long kept = candidate.cachedTokens(request.model(), request.promptSegments());
        return new Backlog(
                pace.estimate(request.model(), load.tokensAwaitingPrefill()),
                pace.estimate(request.model(), request.promptTokens() - kept),
                pace.estimate(request.model(), request.meanPromptTokens() - kept));
    }

    /**
     * Whether a request is refused because of the prompts before it: its caller would have left, or one of the usual
     * length of its kind would be late.
     */
    private static boolean isTooLateBehind(Backlog backlog, SelectionRequest request, MonotonicTime now) {
        if (request.firstEventDeadline().isBefore(now.plus(backlog.untilFirstToken()))) {
            return true;
        }
        boolean isFree = backlog.ahead().compareTo(part(request.latencyObjective(), FREE_BACKLOG)) <= 0;
        return !isFree && isTooLate(request, backlog.ahead().plus(backlog.usual()), now);
    }

    /**
     * Whether a request with much time waits here, to leave room at the engines for requests of its rank and of better
     * ones that have less.
     */
    private static boolean isForOthers(Backlog backlog, SelectionRequest request, MonotonicTime now) {
        Duration shortest = request.shortestObjectives().headMap(request.priority(), true).values().stream()
                .min(Duration::compareTo)
                .orElse(request.latencyObjective());
        boolean hasMuchTime = request.latencyObjective().compareTo(part(shortest, MUCH_TIME)) >= 0;
        Duration spent = now.since(request.arrivedAt()).plus(backlog.usual());
        boolean hasTimeLeft = spent.compareTo(part(request.latencyObjective(), PATIENT_GOALS)) < 0;
        return hasMuchTime && hasTimeLeft && backlog.ahead().compareTo(part(shortest, PATIENT_BACKLOG)) > 0;
    }

    private static Duration part(Duration whole, double part) {
        return Duration.ofMillis(Math.round(whole.toMillis() * part));
    }

    /**
     * Whether an answer would come after the caller has left, or so late that it is worth little while it delays the
     * answers of others.
     */
    private static boolean isTooLate(SelectionRequest request, Duration wait, MonotonicTime now) {
        MonotonicTime answer = now.plus(wait);
        Duration worthwhile = part(request.latencyObjective(), WORTHWHILE_GOALS);
        return request.firstEventDeadline().isBefore(answer)
                || request.arrivedAt().plus(worthwhile).isBefore(answer);
    }

    private static boolean hasRoom(LoadSnapshot load, SelectionRequest request, Engine engine) {
        boolean hasMemory = load.running() == 0
                || load.reservedTokens() + request.totalTokens() <= engine.memoryTokens() * MEMORY_PART;
        return load.running() < engine.slots() && hasMemory;
    }

    /** A request whose model or adapter is nowhere waits for it where it can be loaded in time. */
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
        Optional<MonotonicTime> arrival = usable.stream()
                .flatMap(
                        upstream -> Optional.ofNullable(upstream.loadingModels().get(request.model())).stream())
                .min(MonotonicTime::compareTo);
        // A load that is under way may be a little late; a new one begins once the ordering VM has heard of it.
        MonotonicTime expected =
                arrival.map(time -> time.plus(ARRIVAL_TOLERANCE)).orElse(now.plus(load));
        boolean isInTime = expected.isBefore(request.firstEventDeadline()) && now.isBefore(expected);
        return isInTime ? new Selection.Wait("model_not_loaded", true) : new Selection.Refuse("model_not_loaded", load);
    }

    private static Duration loadTime(Model model, List<Upstream> usable) {
        return model.loadTime(usable.stream()
                .anyMatch(upstream -> upstream.description().localCopies().contains(model.name())));
    }

    private double penalty(Upstream candidate, SelectionRequest request, MonotonicTime now) {
        double penalty = candidate.failureRate(now) * FAILURE_MILLISECONDS;
        if (!candidate.description().failureDomain().equals(failureDomain)) {
            penalty += OTHER_DOMAIN_MILLISECONDS;
        }
        if (candidate.isRecentlyUnreachable(now)) {
            penalty += SUSPECTED_MILLISECONDS;
        }
        if (request.avoided().contains(candidate.description().identifier())) {
            penalty += AVOIDED_MILLISECONDS;
        }
        return penalty;
    }
}
