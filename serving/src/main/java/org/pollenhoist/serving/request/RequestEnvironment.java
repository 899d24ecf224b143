package org.pollenhoist.serving.request;

import java.time.Duration;
import java.util.Collections;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.catalog.Catalog;
import org.pollenhoist.serving.catalog.Route;
import org.pollenhoist.serving.catalog.Service;
import org.pollenhoist.serving.forwarding.UpstreamConnections;
import org.pollenhoist.serving.limit.FleetRateLimiter;
import org.pollenhoist.serving.placement.DemandTracker;
import org.pollenhoist.serving.returns.Pool;
import org.pollenhoist.serving.returns.ReturnLedger;
import org.pollenhoist.serving.routing.EngineRank;
import org.pollenhoist.serving.routing.PrefillRateEstimator;
import org.pollenhoist.serving.routing.PromptLengthTracker;
import org.pollenhoist.serving.routing.UpstreamSelector;
import org.pollenhoist.serving.stream.StreamRegistry;
import org.pollenhoist.serving.upstream.UpstreamNoticeHandler;
import org.pollenhoist.serving.upstream.UpstreamTable;

/**
 * The dependencies that all requests of a process share.
 *
 * @param clock supplies the present time
 * @param catalog the configuration in force, empty before the first one
 * @param mayLackConfiguration tells whether a newer configuration than that one may be in force at a time
 * @param upstreams the upstreams
 * @param notices processes what upstreams state about themselves in responses
 * @param limits the teams' limits
 * @param selector chooses upstreams
 * @param prefillRates estimates the prefill rates of engines
 * @param promptLengths estimates the lengths of prompts
 * @param queue the requests that wait
 * @param returns the returns promised to callers that were refused for want of room
 * @param connections the connections to upstreams
 * @param format reads and writes the headers of callers and upstreams
 * @param retryBudgets returns the retry budget of a service by name
 * @param fleetSize supplies the number of VMs in the fleet
 * @param demand records the work requested from each model
 * @param crashes tracks what crashes upstreams
 * @param streams tells at which software versions streams may go on
 * @param inconclusiveAttempts the attempts that were cancelled before they had a response
 * @param responseBufferBudget limits the memory of buffered responses
 * @param metrics the metrics of requests
 * @param onModelRequest runs when a request starts to wait for a model or adapter
 */
public record RequestEnvironment(
        Supplier<MonotonicTime> clock,
        Supplier<Optional<Catalog>> catalog,
        Predicate<MonotonicTime> mayLackConfiguration,
        UpstreamTable upstreams,
        UpstreamNoticeHandler notices,
        FleetRateLimiter limits,
        UpstreamSelector selector,
        PrefillRateEstimator prefillRates,
        PromptLengthTracker promptLengths,
        RequestQueue queue,
        ReturnLedger returns,
        UpstreamConnections connections,
        RequestFormat format,
        Function<String, FleetRetryBudget> retryBudgets,
        IntSupplier fleetSize,
        DemandTracker demand,
        CrashRecorder crashes,
        StreamRegistry streams,
        InconclusiveAttempts inconclusiveAttempts,
        ResponseBufferBudget responseBufferBudget,
        RequestMetrics metrics,
        Runnable onModelRequest) {

    /** Returns the version of the configuration in force, 0 before the first one. */
    long configurationVersion() {
        return catalog.get().map(Catalog::version).orElse(0L);
    }

    NavigableMap<Integer, Duration> shortestObjectives(String service) {
        return catalog.get()
                .map(current -> current.shortestObjectives(service))
                .orElse(Collections.emptyNavigableMap());
    }

    /** Returns the rank of a request for an engine that is sent to it now, empty for a plain service. */
    OptionalInt engineRank(Service service, Route route, int priority, MonotonicTime arrivedAt) {
        return service.engine().isEmpty()
                ? OptionalInt.empty()
                : OptionalInt.of(EngineRank.of(
                        priority,
                        route.latencyObjective(),
                        shortestObjectives(service.name()),
                        arrivedAt,
                        clock.get()));
    }

    /** Records the demand and the prompt size of a request that has arrived. */
    void recordArrival(Route route, CallerRequest request, MonotonicTime now) {
        if (request.lastEventIdentifier().isPresent()) {
            RequestLog.resumed(request);
        }
        if (!request.model().isEmpty()) {
            promptLengths.observe(route.name(), request.promptTokens());
            demand.recordReceived(request.model(), workMicroseconds(request), now);
        }
    }

    /** Records the start and the demand of a request that is sent to an upstream for the first time. */
    void recordSent(String service, CallerRequest request, MonotonicTime now) {
        returns.recordStart(new Pool(service, request.model()), now);
        if (!request.model().isEmpty()) {
            demand.recordSent(request.model(), workMicroseconds(request), now);
        }
    }

    private long workMicroseconds(CallerRequest request) {
        return prefillRates.uncontendedMicroseconds(request.model(), request.promptTokens());
    }

    /**
     * Withdraws a retry from a service's budget, if enough is left.
     *
     * @param service the service's name
     * @param now the present time
     * @return whether the retry may be sent
     */
    boolean tryWithdrawRetry(String service, MonotonicTime now) {
        return retryBudgets.apply(service).tryWithdraw(fleetSize.getAsInt(), now);
    }
}
