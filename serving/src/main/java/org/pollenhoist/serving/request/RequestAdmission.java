package org.pollenhoist.serving.request;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Duration;
import java.util.Optional;
import org.pollenhoist.caller.Refusal;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.serving.catalog.Catalog;
import org.pollenhoist.serving.catalog.Route;
import org.pollenhoist.serving.catalog.Service;
import org.pollenhoist.serving.catalog.Team;

/**
 * Decides whether a request is admitted: it has to be well formed, match a route to a configured service, present the
 * key of a team if the route needs one, and fit into the team's rate limit. A VM that may lack a newer configuration
 * refuses nothing for good by its own. Confined to the event loop.
 */
final class RequestAdmission {

    /** Retry-After while this process has no configuration, or may lack the newest. */
    private static final Duration NOT_READY_RETRY_AFTER = Duration.ofMillis(500);

    /** The decision. */
    sealed interface Result {

        /**
         * The request is admitted.
         *
         * @param request the model, token counts and other values that the caller sent
         * @param route its route
         * @param service its service
         * @param team the team whose limit it counts against, empty if the route needs no key
         * @param tokens the amount that was taken from the team's limit
         * @param deadline when its response is due
         */
        record Admitted(
                CallerRequest request,
                Route route,
                Service service,
                Optional<Team> team,
                long tokens,
                MonotonicTime deadline)
                implements Result {}

        /**
         * The request is refused.
         *
         * @param identifier the caller's identifier of the request, empty if it could not be read
         * @param refusal the refusal
         */
        record Refused(String identifier, Refusal refusal) implements Result {}
    }

    private final RequestEnvironment environment;
    private final HttpRequest head;
    private String identifier = "";

    RequestAdmission(RequestEnvironment environment, HttpRequest head) {
        this.environment = environment;
        this.head = head;
    }

    Result decide(MonotonicTime now) {
        Optional<Catalog> catalog = environment.catalog().get();
        if (catalog.isEmpty()) {
            return refuse(Refusal.notRunRetryAfter(
                    ErrorCode.NOT_READY, "no configuration has been loaded yet", NOT_READY_RETRY_AFTER));
        }
        CallerRequest request;
        try {
            request = environment.format().read(head);
        } catch (PollenhoistException malformed) {
            return refuse(Refusal.notRun(malformed.code(), malformed.getMessage()));
        }
        identifier = request.identifier();
        if (identifier.isEmpty()) {
            return refuse(Refusal.notRun(ErrorCode.INVALID_REQUEST, "the request has no identifier"));
        }
        return findRoute(catalog.get(), request, now);
    }

    private Result findRoute(Catalog catalog, CallerRequest request, MonotonicTime now) {
        String uri = head.uri();
        int query = uri.indexOf('?');
        String path = query < 0 ? uri : uri.substring(0, query);
        Optional<Route> route = catalog.route(head.headers().get(HttpHeaderNames.HOST, ""), path);
        if (route.isEmpty()) {
            return refuseAsConfigured(ErrorCode.NOT_FOUND, "no route matches this host and path", now);
        }
        double hashFraction = (identifier.hashCode() & 0xffff) / (double) 0x10000;
        Optional<Service> service = catalog.service(route.get().serviceAt(hashFraction));
        if (service.isEmpty()) {
            return refuseAsConfigured(ErrorCode.UPSTREAM_UNAVAILABLE, "the route's service is not configured", now);
        }
        return authenticate(catalog, request, route.get(), service.get(), now);
    }

    private Result authenticate(
            Catalog catalog, CallerRequest request, Route route, Service service, MonotonicTime now) {
        MonotonicTime deadline = deadline(request, route, now);
        if (!catalog.needsKeys() || route.isPublic()) {
            return new Result.Admitted(request, route, service, Optional.empty(), 0, deadline);
        }
        Optional<Team> team = request.key().flatMap(catalog::teamOf);
        if (team.isEmpty()) {
            return refuseAsConfigured(ErrorCode.UNAUTHORIZED, "the key is missing, unknown or revoked", now);
        }
        long tokens = team.get().isLimited() ? cost(team.get(), request) : 0;
        Duration wait = environment.limits().tryTake(team.get(), tokens, now);
        if (!wait.isZero()) {
            return refuse(Refusal.notRunRetryAfter(
                    ErrorCode.RATE_LIMITED, "team " + team.get().name() + " has exceeded its rate and burst", wait));
        }
        return new Result.Admitted(request, route, service, team, tokens, deadline);
    }

    private static MonotonicTime deadline(CallerRequest request, Route route, MonotonicTime now) {
        Duration timeBudget = request.timeBudget().orElse(route.timeout());
        return now.plus(timeBudget.compareTo(route.timeout()) < 0 ? timeBudget : route.timeout());
    }

    private static long cost(Team team, CallerRequest request) {
        if (!team.isCountedInTokens()) {
            return 1;
        }
        return request.isTokenCountGiven() ? request.totalTokens() : team.plainTokens();
    }

    /** Refuses what the configuration does not allow: for good only if no newer one can allow it. */
    private Result refuseAsConfigured(ErrorCode code, String reason, MonotonicTime now) {
        if (environment.mayLackConfiguration().test(now)) {
            return refuse(Refusal.notRunRetryAfter(
                    ErrorCode.NOT_READY,
                    reason + ", but this VM may lack a newer configuration",
                    NOT_READY_RETRY_AFTER));
        }
        return refuse(Refusal.notRun(code, reason));
    }

    private Result refuse(Refusal refusal) {
        return new Result.Refused(identifier, refusal);
    }
}
