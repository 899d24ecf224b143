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
 * Decides whether a request may be served at all: it is well formed, a route leads to a service, its key stands for a
 * team, and the team's rate allows it. Confined to the event loop.
 */
final class RequestAdmission {

    /** When a caller is told to come back to a process without a configuration. */
    private static final Duration NOT_READY_RETRY = Duration.ofMillis(500);

    /** What was decided. */
    sealed interface Result {

        /**
         * The request may be served.
         *
         * @param asked what the caller says of it
         * @param route its route
         * @param service its service
         * @param team the team that pays for it, empty on routes open to all
         * @param tokens what was taken of the team's rate
         * @param deadline when it must be answered
         */
        record Admitted(
                CallerRequest asked,
                Route route,
                Service service,
                Optional<Team> team,
                long tokens,
                MonotonicTime deadline)
                implements Result {}

        /**
         * The request is refused.
         *
         * @param identifier the caller's identifier, empty where it is not known
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
                    ErrorCode.NOT_READY, "no configuration is known here yet", NOT_READY_RETRY));
        }
        CallerRequest asked;
        try {
            asked = environment.format().read(head);
        } catch (PollenhoistException malformed) {
            return refuse(Refusal.notRun(malformed.code(), malformed.getMessage()));
        }
        identifier = asked.identifier();
        if (identifier.isEmpty()) {
            return refuse(Refusal.notRun(ErrorCode.INVALID_REQUEST, "the request has no identifier"));
        }
        return findRoute(catalog.get(), asked, now);
    }

    private Result findRoute(Catalog catalog, CallerRequest asked, MonotonicTime now) {
        String uri = head.uri();
        int query = uri.indexOf('?');
        String path = query < 0 ? uri : uri.substring(0, query);
        Optional<Route> route = catalog.route(head.headers().get(HttpHeaderNames.HOST, ""), path);
        if (route.isEmpty()) {
            return refuse(Refusal.notRun(ErrorCode.NOT_FOUND, "no route leads to this host and path"));
        }
        double point = (identifier.hashCode() & 0xffff) / (double) 0x10000;
        Optional<Service> service = catalog.service(route.get().serviceAt(point));
        if (service.isEmpty()) {
            return refuse(Refusal.notRun(ErrorCode.UPSTREAM_UNAVAILABLE, "the route's service is not configured"));
        }
        return identify(catalog, asked, route.get(), service.get(), now);
    }

    private Result identify(Catalog catalog, CallerRequest asked, Route route, Service service, MonotonicTime now) {
        MonotonicTime deadline = deadline(asked, route, now);
        if (!catalog.needsKeys() || route.isPublic()) {
            return new Result.Admitted(asked, route, service, Optional.empty(), 0, deadline);
        }
        Optional<Team> team = asked.key().flatMap(catalog::teamOf);
        if (team.isEmpty()) {
            return refuse(Refusal.notRun(ErrorCode.UNAUTHORIZED, "the key is missing, unknown or withdrawn"));
        }
        long tokens = team.get().isLimited() ? cost(team.get(), asked) : 0;
        Duration wait = environment.limits().tryTake(team.get(), tokens, now);
        if (!wait.isZero()) {
            return refuse(Refusal.notRunRetryAfter(
                    ErrorCode.RATE_LIMITED, "team " + team.get().name() + " has used its rate and burst up", wait));
        }
        return new Result.Admitted(asked, route, service, team, tokens, deadline);
    }

    private static MonotonicTime deadline(CallerRequest asked, Route route, MonotonicTime now) {
        Duration patience = asked.timeBudget().orElse(route.timeout());
        return now.plus(patience.compareTo(route.timeout()) < 0 ? patience : route.timeout());
    }

    private static long cost(Team team, CallerRequest asked) {
        if (!team.isCountedInTokens()) {
            return 1;
        }
        return asked.isTokenCountGiven() ? asked.totalTokens() : team.plainTokens();
    }

    private Result refuse(Refusal refusal) {
        return new Result.Refused(identifier, refusal);
    }
}
