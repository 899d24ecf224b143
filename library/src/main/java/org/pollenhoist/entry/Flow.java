package org.pollenhoist.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.pollenhoist.caller.CallerRequest;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.configuration.Model;
import org.pollenhoist.request.RequestFingerprint;
import org.pollenhoist.routing.RoutingRequest;
import org.pollenhoist.routing.RoutingTarget;
import org.pollenhoist.upstream.UpstreamRequest;

/**
 * One request on its way, after it was read and before it is routed.
 *
 * @param identifier names it in logs and towards upstreams
 * @param identified its sender and target
 * @param request what is asked for
 * @param headers what goes on to the upstream
 * @param fingerprint recognises its repeats
 * @param deadline when its caller stops waiting
 */
record Flow(
        String identifier,
        Identified identified,
        CallerRequest request,
        List<UpstreamRequest.Header> headers,
        RequestFingerprint fingerprint,
        MonotonicTime deadline) {

    private static final Duration HEAD_TIMEOUT = Duration.ofSeconds(60);

    /** Completions have no effect beyond their answer, so they may run again. */
    boolean isIdempotent() {
        return switch (request) {
            case CallerRequest.ModelCall call -> true;
            case CallerRequest.ServiceCall call -> call.isIdempotent();
        };
    }

    boolean isStreamed() {
        return request instanceof CallerRequest.ModelCall call && call.isStreamed();
    }

    RoutingTarget target() {
        return switch (request) {
            case CallerRequest.ModelCall call -> modelTarget(call);
            case CallerRequest.ServiceCall call ->
                RoutingTarget.ofPool(
                        identified.configuration().routes().get(call.route()).pool());
        };
    }

    private RoutingTarget modelTarget(CallerRequest.ModelCall call) {
        Model model = identified.configuration().models().get(call.model());
        return new RoutingTarget(model.pool(), Optional.of(call.model()), call.adapter());
    }

    RoutingRequest routingRequest(EntryParts parts) {
        List<Long> prefixes = request instanceof CallerRequest.ModelCall call
                ? PrefixFingerprints.of(call.model(), call.prefix())
                : List.of();
        return RoutingRequest.of(
                        target(), identified.priority(), parts.settings().vm().failureDomain())
                .withPrefix(prefixes);
    }

    UpstreamRequest upstreamRequest(MonotonicTime now) {
        Duration remaining = deadline.since(now);
        Duration timeout = remaining.compareTo(HEAD_TIMEOUT) < 0 ? remaining : HEAD_TIMEOUT;
        return switch (request) {
            case CallerRequest.ModelCall call ->
                new UpstreamRequest("POST", call.path(), headers, call.body(), identifier, false, timeout);
            case CallerRequest.ServiceCall call ->
                new UpstreamRequest(
                        call.method(),
                        call.pathAndQuery(),
                        headers,
                        call.body(),
                        identifier,
                        !call.isIdempotent(),
                        timeout);
        };
    }
}
