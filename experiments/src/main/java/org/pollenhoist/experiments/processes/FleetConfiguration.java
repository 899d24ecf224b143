package org.pollenhoist.experiments.processes;

import java.util.List;

/** Writes the configuration of a small fleet in the failure domains of Thalassa. */
public final class FleetConfiguration {

    /** The text that every engine is started with: the one model of the configuration. */
    public static final String START_MODEL = "scribe:1:20000000000";

    private static final String TEAMS = """
            [teams.crews]
            tokens_per_second = 1000000
            burst_tokens = 2000000
            profiles = ["quay-briefing"]

            [teams.agency]
            tokens_per_second = 5
            burst_tokens = 60
            profiles = ["quay-briefing"]

            [profiles.quay-briefing]
            priority = 7
            deadline_seconds = 30
            models = ["scribe"]
            routes = [%s]

            [models.scribe]
            version = "1"
            pool = "scribe"
            memory_gigabytes = 20

            [weight_store]
            load_starts_per_second = 2
            loads_at_full_speed = 17
            adapter_loads_in_flight = 140
            """;

    private static final String ROUTES = """

            [routes.bookings]
            path_prefix = "/bookings"
            pool = "berth"
            tokens_per_request = 1

            [routes.tides]
            path_prefix = "/tides"
            pool = "berth"
            open = true
            """;

    private FleetConfiguration() {}

    /**
     * Writes the configuration for running upstreams.
     *
     * @param engines the engines
     * @param services the plain services
     * @return TOML
     */
    public static String write(List<FleetMember> engines, List<FleetMember> services) {
        StringBuilder text = new StringBuilder();
        if (services.isEmpty()) {
            text.append(TEAMS.formatted(""));
        } else {
            text.append(TEAMS.formatted("\"bookings\"")).append(ROUTES);
        }
        engines.forEach(engine -> appendUpstream(text, engine, "engine", "scribe"));
        services.forEach(service -> appendUpstream(text, service, "plain_service", "berth"));
        return text.toString();
    }

    private static void appendUpstream(StringBuilder text, FleetMember member, String kind, String pool) {
        text.append("\n[upstreams.").append(member.name()).append("]\n");
        text.append("kind = \"").append(kind).append("\"\n");
        text.append("pool = \"").append(pool).append("\"\n");
        text.append("address = \"").append(FleetMember.ADDRESS).append("\"\n");
        text.append("port = ").append(member.port()).append('\n');
        text.append("failure_domain = \"").append(member.failureDomain()).append("\"\n");
        if (kind.equals("engine")) {
            text.append("accelerators = 1\nmemory_gigabytes = 80\nrefuses_old_fencing = true\n");
        }
    }
}
