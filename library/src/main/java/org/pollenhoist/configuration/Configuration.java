package org.pollenhoist.configuration;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.ProfileName;
import org.pollenhoist.common.RouteName;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.common.UpstreamName;

/**
 * All that operators decide, whole and checked.
 *
 * @param teams the teams by name
 * @param profiles the profiles by name
 * @param models the models by name
 * @param routes the routes to plain services by name
 * @param upstreams the upstreams by name
 * @param weightStore the weight store's limits
 * @param keys the keys in force by digest; a withdrawn key is absent
 */
public record Configuration(
        SortedMap<TeamName, Team> teams,
        SortedMap<ProfileName, Profile> profiles,
        SortedMap<ModelName, Model> models,
        SortedMap<RouteName, Route> routes,
        SortedMap<UpstreamName, Upstream> upstreams,
        WeightStoreLimits weightStore,
        Map<String, KeyRecord> keys) {

    /** Copies the maps. */
    public Configuration {
        teams = new TreeMap<>(teams);
        profiles = new TreeMap<>(profiles);
        models = new TreeMap<>(models);
        routes = new TreeMap<>(routes);
        upstreams = new TreeMap<>(upstreams);
        keys = Map.copyOf(keys);
    }
}
