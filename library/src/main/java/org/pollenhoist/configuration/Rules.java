package org.pollenhoist.configuration;

import java.util.List;

/** The stored form of a configuration without its keys, each list in the order of the names. */
record Rules(
        List<Team> teams,
        List<StoredProfile> profiles,
        List<Model> models,
        List<Route> routes,
        List<Upstream> upstreams,
        WeightStoreLimits weightStore) {}
