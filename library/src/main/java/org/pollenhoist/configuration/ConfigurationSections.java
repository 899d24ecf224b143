package org.pollenhoist.configuration;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pollenhoist.common.AdapterName;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.ProfileName;
import org.pollenhoist.common.RouteName;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.settings.FindingCode;
import org.pollenhoist.settings.TomlTable;

/** Reads the tables of configuration files one by one; {@link CrossReferences} checks how they go together. */
final class ConfigurationSections {

    private static final double BYTES_PER_GIGABYTE = 1_000_000_000;
    private static final double BYTES_PER_MEGABYTE = 1_000_000;
    private static final double MILLISECONDS_PER_SECOND = 1_000;
    private static final double MAXIMUM_TOKENS = 1e12;
    private static final double MAXIMUM_GIGABYTES = 1e6;
    private static final double MAXIMUM_MEGABYTES = 1e6;
    private static final double LEAST_SECONDS = 0.001;
    private static final double MAXIMUM_SECONDS = 7 * 24 * 3_600;
    private static final int HIGHEST_PRIORITY = 9;
    private static final int MAXIMUM_ACCELERATORS = 1_024;
    private static final int MAXIMUM_LOADS = 1_000_000;
    private static final List<String> METHODS =
            List.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH", "TRACE");

    private final Section<TeamName, Team> teams = new Section<>();
    private final Section<ProfileName, Profile> profiles = new Section<>();
    private final Section<ModelName, Model> models = new Section<>();
    private final Section<RouteName, Route> routes = new Section<>();
    private final Section<UpstreamName, Upstream> upstreams = new Section<>();
    private WeightStoreLimits weightStore;

    void add(TomlTable root) {
        teams.add(root.tables("teams"), TeamName::of, ConfigurationSections::team);
        profiles.add(root.tables("profiles"), ProfileName::of, ConfigurationSections::profile);
        models.add(root.tables("models"), ModelName::of, ConfigurationSections::model);
        routes.add(root.tables("routes"), RouteName::of, ConfigurationSections::route);
        upstreams.add(root.tables("upstreams"), UpstreamName::of, ConfigurationSections::upstream);
        if (root.has("weight_store")) {
            addWeightStore(root.table("weight_store"));
        }
    }

    private void addWeightStore(TomlTable table) {
        if (weightStore != null) {
            table.reject("", "a second [weight_store]", "one", FindingCode.DUPLICATE);
        }
        weightStore = new WeightStoreLimits(
                table.number("load_starts_per_second", LEAST_SECONDS, MAXIMUM_LOADS),
                table.integer("loads_at_full_speed", 1, MAXIMUM_LOADS),
                table.integer("adapter_loads_in_flight", 1, MAXIMUM_LOADS));
        table.rejectUnknownKeys();
    }

    private static Team team(TeamName name, TomlTable table) {
        return new Team(
                name,
                table.number("tokens_per_second", 0, MAXIMUM_TOKENS),
                table.number("burst_tokens", 0, MAXIMUM_TOKENS),
                table.names("profiles", ProfileName::of));
    }

    private static Profile profile(ProfileName name, TomlTable table) {
        return new Profile(
                name,
                table.integer("priority", 0, HIGHEST_PRIORITY),
                seconds(table, "deadline_seconds"),
                table.names("models", ModelName::of),
                table.names("routes", RouteName::of),
                table.has("key_freshness_seconds")
                        ? Optional.of(seconds(table, "key_freshness_seconds"))
                        : Optional.empty());
    }

    private static Duration seconds(TomlTable table, String key) {
        return Duration.ofMillis(
                Math.round(table.number(key, LEAST_SECONDS, MAXIMUM_SECONDS) * MILLISECONDS_PER_SECOND));
    }

    private static Model model(ModelName name, TomlTable table) {
        Set<AdapterName> adapters = table.names("adapters", AdapterName::of);
        double adapterMegabytes = adapters.isEmpty()
                ? table.number("adapter_memory_megabytes", 0, 0, MAXIMUM_MEGABYTES)
                : table.number("adapter_memory_megabytes", 0, MAXIMUM_MEGABYTES);
        return new Model(
                name,
                table.text("version"),
                table.text("pool"),
                gigabytes(table, LEAST_SECONDS),
                adapters,
                Math.round(adapterMegabytes * BYTES_PER_MEGABYTE));
    }

    private static long gigabytes(TomlTable table, double minimum) {
        return Math.round(table.number("memory_gigabytes", minimum, MAXIMUM_GIGABYTES) * BYTES_PER_GIGABYTE);
    }

    private static Route route(RouteName name, TomlTable table) {
        String prefix = table.text("path_prefix");
        if (!prefix.isEmpty() && !prefix.matches("/[A-Za-z0-9._~/-]*[A-Za-z0-9._~-]")) {
            table.reject(
                    "path_prefix",
                    "'" + prefix + "'",
                    "a path of letters, digits, '.', '_', '~', '-' and '/' that begins with '/' and ends without",
                    FindingCode.NOT_ALLOWED);
        }
        return new Route(
                name,
                prefix,
                table.text("pool"),
                table.flag("open", false),
                methods(table),
                table.number("tokens_per_request", 0, 0, MAXIMUM_TOKENS));
    }

    private static Set<String> methods(TomlTable table) {
        if (!table.has("idempotent_methods")) {
            return Set.of("GET", "HEAD");
        }
        Set<String> methods = new LinkedHashSet<>(table.texts("idempotent_methods"));
        for (String method : methods) {
            if (!METHODS.contains(method)) {
                table.reject(
                        "idempotent_methods", "'" + method + "'", String.join(", ", METHODS), FindingCode.NOT_ALLOWED);
            }
        }
        return methods;
    }

    private static Upstream upstream(UpstreamName name, TomlTable table) {
        boolean isEngine =
                table.word("kind", "engine", List.of("engine", "plain_service")).equals("engine");
        return new Upstream(
                name,
                isEngine ? Upstream.Kind.ENGINE : Upstream.Kind.PLAIN_SERVICE,
                table.text("pool"),
                table.address("address"),
                table.port("port"),
                table.name("failure_domain", FailureDomain::of).orElse(null),
                isEngine
                        ? table.integer("accelerators", 1, MAXIMUM_ACCELERATORS)
                        : table.integer("accelerators", 0, 0, 0),
                isEngine ? gigabytes(table, LEAST_SECONDS) : noMemory(table),
                table.flag("refuses_old_fencing", false));
    }

    private static long noMemory(TomlTable table) {
        return Math.round(table.number("memory_gigabytes", 0, 0, 0));
    }

    boolean hasWeightStore() {
        return weightStore != null;
    }

    Section<TeamName, Team> teams() {
        return teams;
    }

    Section<ProfileName, Profile> profiles() {
        return profiles;
    }

    Section<ModelName, Model> models() {
        return models;
    }

    Section<RouteName, Route> routes() {
        return routes;
    }

    Section<UpstreamName, Upstream> upstreams() {
        return upstreams;
    }

    Configuration configuration(Map<String, KeyRecord> keys) {
        return new Configuration(
                teams.values(),
                profiles.values(),
                models.values(),
                routes.values(),
                upstreams.values(),
                weightStore,
                keys);
    }
}
