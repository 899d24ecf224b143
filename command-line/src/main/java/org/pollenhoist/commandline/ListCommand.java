package org.pollenhoist.commandline;

import java.time.Duration;
import java.util.Collection;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import org.pollenhoist.configuration.Configuration;
import org.pollenhoist.configuration.InstalledConfiguration;
import org.pollenhoist.configuration.Upstream;
import org.pollenhoist.platform.HttpPlatformService;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParentCommand;
import picocli.CommandLine.Spec;

/** Lists what is in force. */
@Command(name = "list", description = "Lists teams, profiles, models, routes, upstreams or VMs.")
final class ListCommand implements Callable<Integer> {

    @ParentCommand
    private PollenhoistCommand parent;

    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "KIND", description = "One of ${COMPLETION-CANDIDATES}.")
    private Kind kind;

    /** What can be listed. */
    enum Kind {
        /** The teams. */
        teams,
        /** The profiles. */
        profiles,
        /** The models. */
        models,
        /** The routes to plain services. */
        routes,
        /** The upstreams. */
        upstreams,
        /** The VMs in the platform's list. */
        vms
    }

    @Override
    public Integer call() {
        try (HttpPlatformService platform = parent.options().connect(spec)) {
            Report report = kind == Kind.vms
                    ? vms(platform)
                    : parent.options()
                            .latest(platform)
                            .map(InstalledConfiguration::configuration)
                            .map(this::report)
                            .orElseGet(() -> Report.withColumns("name"));
            parent.options().print(spec, report);
            return 0;
        }
    }

    private Report report(Configuration configuration) {
        return switch (kind) {
            case teams -> teams(configuration);
            case profiles -> profiles(configuration);
            case models -> models(configuration);
            case routes -> routes(configuration);
            case upstreams -> upstreams(configuration);
            case vms -> throw new IllegalStateException("VMs are no part of the configuration");
        };
    }

    private static Report teams(Configuration configuration) {
        Report report = Report.withColumns("name", "tokens_per_second", "burst_tokens", "profiles", "keys");
        configuration
                .teams()
                .values()
                .forEach(team -> report.row(
                        team.name(),
                        team.tokensPerSecond(),
                        team.burstTokens(),
                        joined(team.profiles()),
                        configuration.keys().values().stream()
                                .filter(key -> key.team().equals(team.name()))
                                .count()));
        return report;
    }

    private static Report profiles(Configuration configuration) {
        Report report =
                Report.withColumns("name", "priority", "deadline_seconds", "key_freshness_seconds", "models", "routes");
        configuration
                .profiles()
                .values()
                .forEach(profile -> report.row(
                        profile.name(),
                        profile.priority(),
                        seconds(profile.deadline()),
                        profile.keyFreshness().map(ListCommand::seconds).orElse("-"),
                        joined(profile.models()),
                        joined(profile.routes())));
        return report;
    }

    private static Report models(Configuration configuration) {
        Report report = Report.withColumns("name", "version", "pool", "memory_bytes", "adapters");
        configuration
                .models()
                .values()
                .forEach(model -> report.row(
                        model.name(),
                        model.version(),
                        model.pool(),
                        model.memoryBytes(),
                        model.adapters().size()));
        return report;
    }

    private static Report routes(Configuration configuration) {
        Report report =
                Report.withColumns("name", "path_prefix", "pool", "open", "idempotent_methods", "tokens_per_request");
        configuration
                .routes()
                .values()
                .forEach(route -> report.row(
                        route.name(),
                        route.pathPrefix(),
                        route.pool(),
                        route.isOpen(),
                        joined(route.idempotentMethods()),
                        route.tokensPerRequest()));
        return report;
    }

    private static Report upstreams(Configuration configuration) {
        Report report = Report.withColumns(
                "name", "kind", "pool", "address", "port", "failure_domain", "memory_bytes", "refuses_old_fencing");
        configuration
                .upstreams()
                .values()
                .forEach(upstream -> report.row(
                        upstream.name(),
                        upstream.kind() == Upstream.Kind.ENGINE ? "engine" : "plain_service",
                        upstream.pool(),
                        upstream.address(),
                        upstream.port(),
                        upstream.failureDomain(),
                        upstream.memoryBytes(),
                        upstream.refusesOldFencing()));
        return report;
    }

    private static Report vms(HttpPlatformService platform) {
        Report report = Report.withColumns("name", "address", "port", "failure_domain", "leaving");
        platform.listVms()
                .forEach(vm -> report.row(vm.name(), vm.address(), vm.port(), vm.failureDomain(), vm.isLeaving()));
        return report;
    }

    private static String seconds(Duration duration) {
        return Double.toString(duration.toMillis() / 1_000.0);
    }

    private static String joined(Collection<?> values) {
        return values.stream().map(Object::toString).sorted().collect(Collectors.joining(","));
    }
}
