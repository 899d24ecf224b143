package org.pollenhoist.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.ProfileName;
import org.pollenhoist.common.RouteName;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.configuration.Configuration;
import org.pollenhoist.configuration.KeyRecord;
import org.pollenhoist.configuration.KeyTable;
import org.pollenhoist.configuration.Profile;
import org.pollenhoist.configuration.Route;
import org.pollenhoist.configuration.Team;
import org.pollenhoist.configuration.TeamKey;
import org.pollenhoist.configuration.WeightStoreLimits;

class IdentificationTest {

    private static final TeamName CREWS = TeamName.of("crews");
    private static final ProfileName BRIEFING = ProfileName.of("briefing");
    private static final TeamKey KEY = TeamKey.generate(new SecureRandom());

    private final Configuration configuration = configuration(KEY.record(CREWS));

    private static Configuration configuration(KeyRecord... keys) {
        Profile profile = new Profile(
                BRIEFING,
                5,
                Duration.ofSeconds(30),
                Set.of(ModelName.of("scribe")),
                Set.of(RouteName.of("bookings")),
                Optional.of(Duration.ofSeconds(60)));
        Map<String, KeyRecord> byDigest = new TreeMap<>();
        for (KeyRecord key : keys) {
            byDigest.put(key.digest(), key);
        }
        return new Configuration(
                sorted(CREWS, new Team(CREWS, 100, 1_000, Set.of(BRIEFING))),
                sorted(BRIEFING, profile),
                new TreeMap<>(),
                routes(),
                new TreeMap<>(),
                new WeightStoreLimits(2, 17, 140),
                byDigest);
    }

    private static SortedMap<RouteName, Route> routes() {
        SortedMap<RouteName, Route> routes = new TreeMap<>();
        for (Route route : new Route[] {
            new Route(RouteName.of("bookings"), "/bookings", "berth", false, Set.of("GET"), 1),
            new Route(RouteName.of("admin"), "/bookings/admin", "berth", false, Set.of("GET"), 1),
            new Route(RouteName.of("tides"), "/tides", "berth", true, Set.of("GET"), 1)
        }) {
            routes.put(route.name(), route);
        }
        return routes;
    }

    private static <K extends Comparable<K>, V> SortedMap<K, V> sorted(K name, V value) {
        SortedMap<K, V> map = new TreeMap<>();
        map.put(name, value);
        return map;
    }

    private static Identification.Shown shown(String path, String authorization) {
        return new Identification.Shown("POST", path, Optional.ofNullable(authorization), Optional.empty());
    }

    private static InForce inForce(Configuration configuration) {
        return new InForce(configuration, KeyTable.of(configuration));
    }

    private Identified identify(Identification.Shown shown) {
        return Identification.identify(inForce(configuration), shown, Duration.ZERO);
    }

    @Nested
    class Identify {

        @Test
        void should_find_team_and_default_profile_by_the_key() {
            Identified identified = identify(shown("/v1/chat/completions", "Bearer " + KEY.reveal()));

            assertThat(identified.team()).contains(CREWS);
            assertThat(identified.keyDigest()).isEqualTo(KEY.digest());
            assertThat(identified.profile().map(Profile::name)).contains(BRIEFING);
        }

        @Test
        void should_need_no_key_on_an_open_route() {
            Identified identified = identify(shown("/tides/today", null));

            assertThat(identified.team()).isEmpty();
        }

        @Test
        void should_refuse_when_no_key_came() {
            assertThatThrownBy(() -> identify(shown("/bookings", null)))
                    .hasMessage("no key came with the request, expected the header Authorization: Bearer KEY");
        }

        @Test
        void should_refuse_a_key_that_was_withdrawn() {
            assertThatThrownBy(() -> Identification.identify(
                            inForce(configuration()), shown("/bookings", "Bearer " + KEY.reveal()), Duration.ZERO))
                    .hasMessage("the key is unknown or was withdrawn");
        }

        @Test
        void should_ask_for_the_key_before_it_tells_what_exists() {
            assertThatThrownBy(() -> identify(shown("/nothing", "Bearer wrong")))
                    .hasMessage("the key is unknown or was withdrawn");
        }

        @Test
        void should_take_the_longest_prefix_so_that_a_narrow_route_is_not_reached_through_a_wide_one() {
            assertThatThrownBy(() -> identify(shown("/bookings/admin/7", "Bearer " + KEY.reveal())))
                    .hasMessage("profile briefing may not use this route, expected one of [bookings]");
        }

        @Test
        void should_refuse_when_keys_were_not_confirmed_for_longer_than_the_profile_allows() {
            assertThatThrownBy(() -> Identification.identify(
                            inForce(configuration),
                            shown("/bookings", "Bearer " + KEY.reveal()),
                            Duration.ofSeconds(61)))
                    .hasMessage("keys could not be confirmed for 61 s, profile briefing allows 60 s");
        }
    }
}
