package org.pollenhoist.entry;

import java.util.Optional;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.configuration.Configuration;
import org.pollenhoist.configuration.Profile;
import org.pollenhoist.configuration.Route;

/**
 * A request whose sender and target are known.
 *
 * @param configuration what it is handled by to its end
 * @param team the team whose key came with it; empty on an open route
 * @param keyDigest the key's digest; empty on an open route
 * @param profile the profile it runs under; empty on an open route
 * @param target what it is for
 */
record Identified(
        Configuration configuration,
        Optional<TeamName> team,
        String keyDigest,
        Optional<Profile> profile,
        Target target) {

    /** What a request is for. */
    sealed interface Target {

        /**
         * A completion.
         *
         * @param path the path of the interface
         */
        record Completion(String path) implements Target {}

        /** The list of models. */
        record ModelList() implements Target {}

        /**
         * A plain service.
         *
         * @param route the route
         */
        record Service(Route route) implements Target {}
    }

    int priority() {
        return profile.map(Profile::priority).orElse(0);
    }
}
