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

/** One version of the configuration, with the look-ups that each request needs. */
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
     * @param version the operators' version
     * @param routes the routes
     * @param services the services
     * @param teams the teams; where there are none, no request needs a key
     * @param limits what callers may send
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
     * Finds the route of a request: of the host's routes the one with the longest matching prefix.
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
     * Returns the shortest time in which answers of a service are worth most, for each rank of its routes.
     *
     * @param service the service's name
     * @return the goals by rank, the most urgent rank first
     */
    public NavigableMap<Integer, Duration> shortestObjectives(String service) {
        return shortestObjectives.getOrDefault(service, Collections.emptyNavigableMap());
    }

    /**
     * Finds the team of a key.
     *
     * @param key the key as the caller sent it
     * @return the team, or empty where the key is unknown or withdrawn
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
     * @return the services in no order
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
     * Tells whether requests need a key at all.
     *
     * @return true where there are teams
     */
    public boolean needsKeys() {
        return !teams.isEmpty();
    }

    /**
     * Returns the operators' version.
     *
     * @return the version
     */
    public long version() {
        return version;
    }

    /**
     * Returns what callers may send.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }
}
