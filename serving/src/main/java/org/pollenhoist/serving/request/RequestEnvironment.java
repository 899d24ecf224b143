package org.pollenhoist.serving.request;

import java.time.Duration;
import java.util.Collections;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.request.CrashQuarantine;
import org.pollenhoist.serving.catalog.Catalog;
import org.pollenhoist.serving.catalog.Route;
import org.pollenhoist.serving.http.HttpConnectionPool;
import org.pollenhoist.serving.limit.FleetRateLimiter;
import org.pollenhoist.serving.placement.DemandTracker;
import org.pollenhoist.serving.routing.PrefillRateEstimator;
import org.pollenhoist.serving.routing.PromptLengthTracker;
import org.pollenhoist.serving.routing.UpstreamSelector;
import org.pollenhoist.serving.upstream.UpstreamTable;

/**
 * What all requests of a process share.
 *
 * @param clock reads the present time
 * @param catalog the configuration in force, empty before the first one
 * @param upstreams the upstreams
 * @param limits the teams' limits
 * @param selector chooses upstreams
 * @param pace learns how fast engines read
 * @param promptSizes learns how long prompts are
 * @param queue requests that wait
 * @param connections connections to upstreams
 * @param format how callers and upstreams write
 * @param retryBudgets the retry budget of a service
 * @param fleetSize how many VMs the fleet has
 * @param demand counts what is asked of models
 * @param quarantine knows requests that crash upstreams
 * @param unanswered remembers attempts that were given up
 * @param responseBufferBudget bounds answers that are gathered
 * @param metrics counts outcomes
 * @param onModelRequest is told at once when a request begins to wait for a model or adapter
 */
public record RequestEnvironment(
        Supplier<MonotonicTime> clock,
        Supplier<Optional<Catalog>> catalog,
        UpstreamTable upstreams,
        FleetRateLimiter limits,
        UpstreamSelector selector,
        PrefillRateEstimator pace,
        PromptLengthTracker promptSizes,
        RequestQueue queue,
        HttpConnectionPool connections,
        RequestFormat format,
        Function<String, FleetRetryBudget> retryBudgets,
        IntSupplier fleetSize,
        DemandTracker demand,
        CrashQuarantine quarantine,
        UnansweredAttempts unanswered,
        ResponseBufferBudget responseBufferBudget,
        RequestMetrics metrics,
        Runnable onModelRequest) {

    NavigableMap<Integer, Duration> shortestGoals(String service) {
        return catalog.get().map(known -> known.shortestObjectives(service)).orElse(Collections.emptyNavigableMap());
    }

    /** Counts a request that comes. */
    void recordAsked(Route route, CallerRequest asked, MonotonicTime now) {
        if (!asked.model().isEmpty()) {
            promptSizes.observe(route.name(), asked.promptTokens());
            demand.recordReceived(asked.model(), workMicroseconds(asked), now);
        }
    }

    /** Counts a request that is sent to an upstream for the first time. */
    void recordSent(CallerRequest asked, MonotonicTime now) {
        if (!asked.model().isEmpty()) {
            demand.recordSent(asked.model(), workMicroseconds(asked), now);
        }
    }

    private long workMicroseconds(CallerRequest asked) {
        return pace.uncontendedMicroseconds(asked.model(), asked.promptTokens());
    }

    /**
     * Takes one retry from a service's budget, if it has any left.
     *
     * @param service the service's name
     * @param now the present time
     * @return whether the retry may be sent
     */
    boolean tryWithdrawRetry(String service, MonotonicTime now) {
        return retryBudgets.apply(service).tryWithdraw(fleetSize.getAsInt(), now);
    }
}
