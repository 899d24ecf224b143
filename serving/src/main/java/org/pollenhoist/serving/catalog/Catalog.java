package org.pollenhoist.serving.catalog;

import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BinaryOperator;

/** An immutable version of the configuration, indexed for the look-ups that each request needs. */
public final class Catalog {

    private final long version;
    private final Map<String, Map<String, Route>> routesByHostAndPrefix = new HashMap<>();
    private final Map<String, Service> services = new HashMap<>();
    private final Map<String, NavigableMap<Integer, Duration>> shortestObjectives = new HashMap<>();
    private final Map<String, Team> teamsByKey = new HashMap<>();
    private final List<Team> teams;
    private final CallerLimits limits;

    private Catalog(
            long version,
            Collection<Route> routes,
            Collection<Service> services,
            Collection<Team> teams,
            CallerLimits limits) {
        this.version = version;
        this.limits = limits;
        this.teams = List.copyOf(teams);
        for (Route route : routes) {
            routesByHostAndPrefix
                    .computeIfAbsent(route.host(), host -> new HashMap<>())
                    .put(route.pathPrefix(), route);
            route.services()
                    .forEach(service -> shortestObjectives
                            .computeIfAbsent(service.service(), name -> new TreeMap<>())
                            .merge(
                                    route.priority(),
                                    route.latencyObjective(),
                                    BinaryOperator.minBy(Comparator.naturalOrder())));
        }
        services.forEach(service -> this.services.put(service.name(), service));
        teams.forEach(team -> team.keys().forEach(key -> teamsByKey.put(key, team)));
    }

    /**
     * Creates a catalog.
     *
     * @param version the version number that the operators gave the configuration
     * @param routes the routes
     * @param services the services
     * @param teams the teams; if there are none, no request needs a key
     * @param limits the limits on callers' requests
     * @return the catalog
     */
    public static Catalog of(
            long version,
            Collection<Route> routes,
            Collection<Service> services,
            Collection<Team> teams,
            CallerLimits limits) {
        return new Catalog(version, routes, services, teams, limits);
    }

    /**
     * Counts the routes.
     *
     * @return the number of routes
     */
    public int routeCount() {
        return routesByHostAndPrefix.values().stream().mapToInt(Map::size).sum();
    }

    /**
     * Finds the route of a request: among the routes of the host, the one with the longest matching path prefix.
     *
     * @param host the host as the caller sent it, with or without a port
     * @param path the path without its query
     * @return the route, or empty
     */
    public Optional<Route> route(String host, String path) {
        Map<String, Route> routes = routesByHostAndPrefix.get(hostName(host));
        if (routes == null) {
            return Optional.empty();
        }
        int end = path.lastIndexOf('/');
        while (end >= 0) {
            Route found = routes.get(path.substring(0, end + 1));
            if (found != null) {
                return Optional.of(found);
            }
            end = end == 0 ? -1 : path.lastIndexOf('/', end - 1);
        }
        return Optional.empty();
    }

    private static String hostName(String host) {
        int port = host.lastIndexOf(':');
        String name = port < 0 ? host : host.substring(0, port);
        return name.toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the shortest latency objective of a service's routes, for each priority that these routes have.
     *
     * @param service the service's name
     * @return the objectives by priority, the highest priority (the lowest number) first; empty for an unknown service
     */
    public NavigableMap<Integer, Duration> shortestObjectives(String service) {
        return shortestObjectives.getOrDefault(service, Collections.emptyNavigableMap());
    }

    /**
     * Finds the team that a key belongs to.
     *
     * @param key the key as the caller sent it
     * @return the team, or empty if the key is unknown or has been withdrawn
     */
    public Optional<Team> teamOf(String key) {
        return Optional.ofNullable(teamsByKey.get(key));
    }

    /**
     * Finds a service.
     *
     * @param name its name
     * @return the service, or empty
     */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns all services.
     *
     * @return the services, in no particular order
     */
    public Collection<Service> services() {
        return services.values();
    }

    /**
     * Returns all teams.
     *
     * @return the teams
     */
    public List<Team> teams() {
        return teams;
    }

    /**
     * Returns whether requests need a key on routes that are not public.
     *
     * @return true if the configuration has teams
     */
    public boolean needsKeys() {
        return !teams.isEmpty();
    }

    /**
     * Returns the version number that the operators gave the configuration.
     *
     * @return the version number
     */
    public long version() {
        return version;
    }

    /**
     * Returns the limits on callers' requests.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }
}
