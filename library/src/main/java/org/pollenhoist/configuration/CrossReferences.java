package org.pollenhoist.configuration;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.pollenhoist.common.RouteName;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.settings.FindingCode;

/** Checks how the tables of a configuration go together. */
final class CrossReferences {

    /** Paths that the entry processes serve themselves. */
    private static final Set<String> RESERVED_PREFIXES = Set.of("/v1", "/internal", "/metrics", "/health");

    private final ConfigurationSections sections;

    private CrossReferences(ConfigurationSections sections) {
        this.sections = sections;
    }

    static void check(ConfigurationSections sections) {
        CrossReferences references = new CrossReferences(sections);
        references.checkTeams();
        references.checkProfiles();
        references.checkModels();
        references.checkRoutes();
        references.checkUpstreams();
    }

    private void checkTeams() {
        sections.teams().values().forEach((name, team) -> {
            team.profiles().stream()
                    .filter(profile -> !sections.profiles().values().containsKey(profile))
                    .sorted()
                    .forEach(profile -> rejectReference(
                            sections.teams(),
                            name,
                            "profiles",
                            profile,
                            sections.profiles().values().keySet()));
            if (team.profiles().isEmpty()) {
                sections.teams().reject(name, "profiles", "none", "at least one profile", FindingCode.NOT_ALLOWED);
            }
        });
    }

    private void checkProfiles() {
        sections.profiles().values().forEach((name, profile) -> {
            profile.models().stream()
                    .filter(model -> !sections.models().values().containsKey(model))
                    .sorted()
                    .forEach(model -> rejectReference(
                            sections.profiles(),
                            name,
                            "models",
                            model,
                            sections.models().values().keySet()));
            profile.routes().stream()
                    .filter(route -> !sections.routes().values().containsKey(route))
                    .sorted()
                    .forEach(route -> rejectReference(
                            sections.profiles(),
                            name,
                            "routes",
                            route,
                            sections.routes().values().keySet()));
        });
    }

    private void checkModels() {
        sections.models().values().forEach((name, model) -> {
            checkPool(sections.models(), name, model.pool(), Upstream.Kind.ENGINE);
            OptionalLong largest = upstreamsOf(model.pool(), Upstream.Kind.ENGINE)
                    .mapToLong(Upstream::memoryBytes)
                    .max();
            if (largest.isPresent() && model.memoryBytes() > largest.getAsLong()) {
                sections.models()
                        .reject(
                                name,
                                "memory_gigabytes",
                                model.memoryBytes() + " bytes",
                                "at most " + largest.getAsLong() + " bytes, the largest upstream of pool '"
                                        + model.pool() + "'",
                                FindingCode.INCONSISTENT);
            }
        });
    }

    private void checkRoutes() {
        Map<String, RouteName> routeByPrefix = new HashMap<>();
        sections.routes().values().forEach((name, route) -> {
            checkPool(sections.routes(), name, route.pool(), Upstream.Kind.PLAIN_SERVICE);
            RouteName other = routeByPrefix.putIfAbsent(route.pathPrefix(), name);
            if (other != null) {
                sections.routes()
                        .reject(
                                name,
                                "path_prefix",
                                "'" + route.pathPrefix() + "' as in route '" + other + "'",
                                "each prefix once",
                                FindingCode.DUPLICATE);
            }
            if (isReserved(route.pathPrefix())) {
                sections.routes()
                        .reject(
                                name,
                                "path_prefix",
                                "'" + route.pathPrefix() + "'",
                                "none of the paths that the entry processes serve themselves: "
                                        + String.join(", ", new TreeSet<>(RESERVED_PREFIXES)),
                                FindingCode.NOT_ALLOWED);
            }
        });
    }

    private static boolean isReserved(String prefix) {
        return RESERVED_PREFIXES.stream()
                .anyMatch(reserved -> prefix.equals(reserved) || prefix.startsWith(reserved + "/"));
    }

    private void checkUpstreams() {
        Map<String, UpstreamName> upstreamByPlace = new HashMap<>();
        sections.upstreams().values().forEach((name, upstream) -> {
            String place = upstream.address() + ":" + upstream.port();
            UpstreamName other = upstreamByPlace.putIfAbsent(place, name);
            if (other != null) {
                sections.upstreams()
                        .reject(
                                name,
                                "port",
                                place + " as in upstream '" + other + "'",
                                "each address and port once",
                                FindingCode.DUPLICATE);
            }
        });
    }

    private <N extends Comparable<N>> void checkPool(Section<N, ?> section, N name, String pool, Upstream.Kind kind) {
        if (upstreamsOf(pool, kind).findAny().isPresent()) {
            return;
        }
        Set<String> pools = sections.upstreams().values().values().stream()
                .filter(upstream -> upstream.kind() == kind)
                .map(Upstream::pool)
                .collect(Collectors.toCollection(TreeSet::new));
        rejectReference(section, name, "pool", pool, pools);
    }

    private Stream<Upstream> upstreamsOf(String pool, Upstream.Kind kind) {
        return sections.upstreams().values().values().stream()
                .filter(upstream -> upstream.kind() == kind && upstream.pool().equals(pool));
    }

    private static <N extends Comparable<N>> void rejectReference(
            Section<N, ?> section, N name, String key, Object actual, Collection<?> allowed) {
        String expected = allowed.isEmpty()
                ? "nothing, since none is defined"
                : allowed.stream().map(Object::toString).collect(Collectors.joining(", "));
        section.reject(name, key, "'" + actual + "'", expected, FindingCode.UNKNOWN_REFERENCE);
    }
}
