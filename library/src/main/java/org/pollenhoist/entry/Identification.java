package org.pollenhoist.entry;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import org.pollenhoist.caller.Refusal;
import org.pollenhoist.caller.RefusedException;
import org.pollenhoist.caller.ServicePaths;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.common.ProfileName;
import org.pollenhoist.configuration.Configuration;
import org.pollenhoist.configuration.KeyRecord;
import org.pollenhoist.configuration.Profile;
import org.pollenhoist.configuration.Route;
import org.pollenhoist.configuration.Team;

/** Finds out who sends a request, what it is for and whether that is allowed. */
final class Identification {

    private static final Set<String> COMPLETION_PATHS = Set.of("/v1/chat/completions", "/v1/completions");

    private static final String MODEL_LIST_PATH = "/v1/models";

    private static final String BEARER = "Bearer ";

    private Identification() {}

    /**
     * What a request shows before its body is read.
     *
     * @param method the method in upper case
     * @param rawPath the path as received
     * @param authorization the header of that name, or empty
     * @param profile the profile asked for, or empty
     */
    record Shown(String method, String rawPath, Optional<String> authorization, Optional<String> profile) {}

    static Identified identify(InForce inForce, Shown shown, Duration sinceContact) {
        Configuration configuration = inForce.configuration();
        ServicePaths.requireUnambiguous(shown.rawPath());
        Optional<Identified.Target> target = target(configuration, shown);
        boolean isOpen = target.isPresent()
                && target.get() instanceof Identified.Target.Service service
                && service.route().isOpen();
        if (isOpen) {
            return new Identified(configuration, Optional.empty(), "", Optional.empty(), target.get());
        }
        KeyRecord key = key(inForce, shown);
        Identified.Target known = target.orElseThrow(() -> notFound(shown.rawPath()));
        Profile profile = profile(configuration, configuration.teams().get(key.team()), shown);
        requireAllowed(profile, known);
        requireFreshKeys(profile, sinceContact);
        return new Identified(configuration, Optional.of(key.team()), key.digest(), Optional.of(profile), known);
    }

    private static Optional<Identified.Target> target(Configuration configuration, Shown shown) {
        if (COMPLETION_PATHS.contains(shown.rawPath()) && shown.method().equals("POST")) {
            return Optional.of(new Identified.Target.Completion(shown.rawPath()));
        }
        if (shown.rawPath().equals(MODEL_LIST_PATH) && shown.method().equals("GET")) {
            return Optional.of(new Identified.Target.ModelList());
        }
        return configuration.routes().values().stream()
                .filter(route -> ServicePaths.isBelow(route.pathPrefix(), shown.rawPath()))
                .max(Comparator.comparingInt((Route route) -> route.pathPrefix().length()))
                .map(Identified.Target.Service::new);
    }

    private static KeyRecord key(InForce inForce, Shown shown) {
        String header = shown.authorization()
                .filter(value -> value.startsWith(BEARER))
                .orElseThrow(() ->
                        unauthorized("no key came with the request, expected the header Authorization: Bearer KEY"));
        return inForce.keys()
                .find(header.substring(BEARER.length()).trim())
                .filter(record -> inForce.configuration().teams().containsKey(record.team()))
                .orElseThrow(() -> unauthorized("the key is unknown or was withdrawn"));
    }

    private static Profile profile(Configuration configuration, Team team, Shown shown) {
        ProfileName name = shown.profile()
                .map(Identification::profileName)
                .orElseGet(() -> team.profiles().stream()
                        .sorted()
                        .findFirst()
                        .orElseThrow(
                                () -> forbidden("team " + team.name() + " has no profile, expected at least one")));
        Profile profile = configuration.profiles().get(name);
        if (profile == null || !team.profiles().contains(name)) {
            throw forbidden("team " + team.name() + " may not use profile " + name + ", expected one of "
                    + team.profiles().stream().sorted().toList());
        }
        return profile;
    }

    private static ProfileName profileName(String text) {
        try {
            return ProfileName.of(text);
        } catch (PollenhoistException malformed) {
            throw RefusedException.of(Refusal.notRun(ErrorCode.INVALID_REQUEST, malformed.getMessage()));
        }
    }

    private static void requireAllowed(Profile profile, Identified.Target target) {
        boolean isRefused = target instanceof Identified.Target.Service service
                && !profile.routes().contains(service.route().name());
        if (isRefused) {
            throw forbidden("profile " + profile.name() + " may not use this route, expected one of "
                    + profile.routes().stream().sorted().toList());
        }
    }

    private static void requireFreshKeys(Profile profile, Duration sinceContact) {
        boolean isStale = profile.keyFreshness()
                .filter(bound -> sinceContact.compareTo(bound) > 0)
                .isPresent();
        if (isStale) {
            throw RefusedException.of(Refusal.notRunRetryAfter(
                    ErrorCode.NOT_READY,
                    "keys could not be confirmed for " + sinceContact.toSeconds() + " s, profile " + profile.name()
                            + " allows " + profile.keyFreshness().orElseThrow().toSeconds() + " s",
                    Duration.ofSeconds(1)));
        }
    }

    private static RefusedException unauthorized(String message) {
        return RefusedException.of(Refusal.notRun(ErrorCode.UNAUTHORIZED, message));
    }

    private static RefusedException forbidden(String message) {
        return RefusedException.of(Refusal.notRun(ErrorCode.FORBIDDEN, message));
    }

    private static RefusedException notFound(String path) {
        return RefusedException.of(Refusal.notRun(ErrorCode.NOT_FOUND, "there is nothing at " + path));
    }
}
