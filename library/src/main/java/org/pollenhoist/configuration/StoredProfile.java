package org.pollenhoist.configuration;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.ProfileName;
import org.pollenhoist.common.RouteName;

/** The stored form of a profile, with durations in milliseconds. A key freshness of 0 stands for none. */
record StoredProfile(
        ProfileName name,
        int priority,
        long deadlineMilliseconds,
        Set<ModelName> models,
        Set<RouteName> routes,
        long keyFreshnessMilliseconds) {

    static StoredProfile of(Profile profile) {
        return new StoredProfile(
                profile.name(),
                profile.priority(),
                profile.deadline().toMillis(),
                profile.models(),
                profile.routes(),
                profile.keyFreshness().map(Duration::toMillis).orElse(0L));
    }

    Profile profile() {
        Optional<Duration> freshness = keyFreshnessMilliseconds == 0
                ? Optional.empty()
                : Optional.of(Duration.ofMillis(keyFreshnessMilliseconds));
        return new Profile(name, priority, Duration.ofMillis(deadlineMilliseconds), models, routes, freshness);
    }
}
