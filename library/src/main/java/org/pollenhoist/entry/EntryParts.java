package org.pollenhoist.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.pollenhoist.caller.EntryMetrics;
import org.pollenhoist.caller.RunningRequests;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.request.CrashQuarantine;
import org.pollenhoist.request.IdempotencyTable;
import org.pollenhoist.request.RetryBudget;
import org.pollenhoist.request.RetryPolicy;
import org.pollenhoist.routing.Router;
import org.pollenhoist.routing.UpstreamTable;
import org.pollenhoist.settings.EntrySettings;
import org.pollenhoist.upstream.UpstreamClient;
import org.pollenhoist.vm.OutcomeExchange;

/**
 * What all requests of one entry process share.
 *
 * @param settings the process's settings
 * @param configuration the configuration in force, empty before the first
 * @param sinceContact how long ago the platform or a peer last confirmed the configuration
 * @param isDraining whether answers announce the end of their connections
 * @param gate the teams' limits
 * @param upstreams what is known of the upstreams
 * @param router chooses among them
 * @param retryPolicy decides on further attempts
 * @param retryBudget bounds them
 * @param quarantine keeps requests from crashing one upstream after the other
 * @param idempotency what became of requests with an idempotency key
 * @param outcomes asks other VMs about them
 * @param client sends to upstreams
 * @param running the requests that run now
 * @param metrics what is counted
 */
record EntryParts(
        EntrySettings settings,
        Supplier<Optional<InForce>> configuration,
        Function<MonotonicTime, Duration> sinceContact,
        Supplier<Boolean> isDraining,
        TokenGate gate,
        UpstreamTable upstreams,
        Router router,
        RetryPolicy retryPolicy,
        RetryBudget retryBudget,
        CrashQuarantine quarantine,
        IdempotencyTable idempotency,
        OutcomeExchange outcomes,
        UpstreamClient client,
        RunningRequests running,
        EntryMetrics metrics) {}
