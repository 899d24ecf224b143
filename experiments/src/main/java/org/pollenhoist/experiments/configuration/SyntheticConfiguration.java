package org.pollenhoist.experiments.configuration;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.pollenhoist.common.AdapterName;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.ProfileName;
import org.pollenhoist.common.RouteName;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.configuration.Configuration;
import org.pollenhoist.configuration.Model;
import org.pollenhoist.configuration.Profile;
import org.pollenhoist.configuration.Route;
import org.pollenhoist.configuration.Team;
import org.pollenhoist.configuration.Upstream;
import org.pollenhoist.configuration.WeightStoreLimits;

/** Configurations of a given size. */
final class SyntheticConfiguration {

    private static final int TEAMS = 5;
    private static final int ADAPTERS_OF_A_MODEL = 4;
    private static final long MODEL_BYTES = 20_000_000_000L;
    private static final long ADAPTER_BYTES = 120_000_000L;
    private static final long UPSTREAM_BYTES = 320_000_000_000L;
    private static final int FIRST_PORT = 9_000;

    private SyntheticConfiguration() {}

    /**
     * Returns a configuration.
     *
     * @param models how many models
     * @param upstreams how many upstreams
     * @param domains how many failure domains
     * @param rate the first team's rate, to make each different
     */
    static Configuration of(int models, int upstreams, int domains, double rate) {
        SortedMap<ModelName, Model> modelMap = models(models);
        ProfileName profile = ProfileName.of("quay-briefing");
        SortedMap<TeamName, Team> teams = new TreeMap<>();
        for (int index = 0; index < TEAMS; index++) {
            TeamName name = TeamName.of("team-" + index);
            teams.put(name, new Team(name, index == 0 ? rate : 1_000, 10_000, Set.of(profile)));
        }
        SortedMap<ProfileName, Profile> profiles = new TreeMap<>(Map.of(
                profile,
                new Profile(profile, 7, Duration.ofSeconds(30), modelMap.keySet(), Set.of(), Optional.empty())));
        return new Configuration(
                teams,
                profiles,
                modelMap,
                new TreeMap<RouteName, Route>(),
                upstreams(upstreams, domains),
                new WeightStoreLimits(2, 17, 140),
                Map.of());
    }

    private static SortedMap<ModelName, Model> models(int count) {
        SortedMap<ModelName, Model> models = new TreeMap<>();
        for (int index = 0; index < count; index++) {
            ModelName name = ModelName.of("briefing-" + index);
            Set<AdapterName> adapters = new HashSet<>();
            for (int adapter = 0; adapter < ADAPTERS_OF_A_MODEL; adapter++) {
                adapters.add(AdapterName.of(name + "-adapter-" + adapter));
            }
            models.put(name, new Model(name, "1", "scribe", MODEL_BYTES, adapters, ADAPTER_BYTES));
        }
        return models;
    }

    private static SortedMap<UpstreamName, Upstream> upstreams(int count, int domains) {
        SortedMap<UpstreamName, Upstream> upstreams = new TreeMap<>();
        for (int index = 0; index < count; index++) {
            UpstreamName name = UpstreamName.of("scribe-" + index);
            upstreams.put(
                    name,
                    new Upstream(
                            name,
                            Upstream.Kind.ENGINE,
                            "scribe",
                            "10.0." + index / 250 + "." + (1 + index % 250),
                            FIRST_PORT,
                            FailureDomain.of("domain-" + (1 + index % domains)),
                            8,
                            UPSTREAM_BYTES,
                            true));
        }
        return upstreams;
    }
}
