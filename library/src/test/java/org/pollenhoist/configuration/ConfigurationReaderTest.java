package org.pollenhoist.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.pollenhoist.common.AdapterName;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.ProfileName;
import org.pollenhoist.common.RouteName;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.settings.InvalidSettingsException;

class ConfigurationReaderTest {

    @TempDir
    Path folder;

    @Nested
    class Read {

        @Test
        void should_read_every_table() {
            Configuration configuration = Configurations.small();

            assertThat(configuration.teams().values())
                    .containsExactly(
                            new Team(TeamName.of("crews"), 100, 1_000, Set.of(ProfileName.of("quay-briefing"))));
            assertThat(configuration.profiles().values())
                    .containsExactly(new Profile(
                            ProfileName.of("quay-briefing"),
                            7,
                            Duration.ofSeconds(30),
                            Set.of(ModelName.of("scribe")),
                            Set.of(RouteName.of("bookings")),
                            Optional.of(Duration.ofSeconds(60))));
            assertThat(configuration.models().values())
                    .containsExactly(new Model(
                            ModelName.of("scribe"),
                            "1",
                            "scribe",
                            20_000_000_000L,
                            Set.of(AdapterName.of("greek"), AdapterName.of("english")),
                            50_000_000));
            assertThat(configuration.routes().values())
                    .containsExactly(new Route(
                            RouteName.of("bookings"), "/bookings", "berth", false, Set.of("GET", "HEAD"), 10));
            assertThat(configuration.upstreams().get(UpstreamName.of("scribe-1")))
                    .isEqualTo(new Upstream(
                            UpstreamName.of("scribe-1"),
                            Upstream.Kind.ENGINE,
                            "scribe",
                            "127.0.0.1",
                            9001,
                            FailureDomain.of("piraeus"),
                            1,
                            80_000_000_000L,
                            true));
            assertThat(configuration.weightStore()).isEqualTo(new WeightStoreLimits(2, 17, 140));
            assertThat(configuration.keys()).isEmpty();
        }

        @Test
        void should_join_all_files_of_a_folder() throws IOException {
            int split = Configurations.SMALL.indexOf("[upstreams.scribe-1]");
            Files.writeString(folder.resolve("a.toml"), Configurations.SMALL.substring(0, split));
            Files.writeString(folder.resolve("b.toml"), Configurations.SMALL.substring(split));

            assertThat(ConfigurationReader.read(List.of(folder))).isEqualTo(Configurations.small());
        }

        @Test
        void should_report_every_broken_cross_reference_with_its_place() throws IOException {
            Path file = file(Configurations.SMALL
                    .replace("profiles = [\"quay-briefing\"]", "profiles = [\"night\"]")
                    .replace("routes = [\"bookings\"]", "routes = [\"deposits\"]")
                    .replace("memory_gigabytes = 20", "memory_gigabytes = 90")
                    .replace("pool = \"berth\"\ntokens_per_request", "pool = \"scribe\"\ntokens_per_request")
                    .replace("port = 9002", "port = 9001"));

            assertThatThrownBy(() -> ConfigurationReader.read(List.of(file)))
                    .isInstanceOf(InvalidSettingsException.class)
                    .hasMessage(String.join(
                            "\n",
                            file + ":4: teams.crews.profiles: found 'night', allowed: quay-briefing"
                                    + " [unknown_reference]",
                            file + ":9: profiles.quay-briefing.routes: found 'deposits', allowed: bookings"
                                    + " [unknown_reference]",
                            file + ":14: models.scribe.memory_gigabytes: found 90000000000 bytes, allowed: at most"
                                    + " 80000000000 bytes, the largest upstream of pool 'scribe' [inconsistent]",
                            file + ":19: routes.bookings.pool: found 'scribe', allowed: berth [unknown_reference]",
                            file + ":25: upstreams.scribe-1.port: found 127.0.0.1:9001 as in upstream 'berth-1',"
                                    + " allowed: each address and port once [duplicate]"));
        }

        @Test
        void should_reject_a_prefix_when_it_stands_twice_or_is_served_by_the_entry_process() throws IOException {
            Path file = file(Configurations.SMALL
                    + "[routes.other]\npath_prefix = \"/bookings\"\npool = \"berth\"\n"
                    + "[routes.models]\npath_prefix = \"/v1/models\"\npool = \"berth\"\n"
                    + "[routes.bare]\npath_prefix = \"bare\"\npool = \"berth\"\n");

            assertThatThrownBy(() -> ConfigurationReader.read(List.of(file)))
                    .hasMessage(String.join(
                            "\n",
                            file + ":41: routes.other.path_prefix: found '/bookings' as in route 'bookings',"
                                    + " allowed: each prefix once [duplicate]",
                            file + ":44: routes.models.path_prefix: found '/v1/models', allowed: none of the paths"
                                    + " that the entry processes serve themselves: /health, /internal, /metrics, /v1"
                                    + " [not_allowed]",
                            file + ":47: routes.bare.path_prefix: found 'bare', allowed: a path of letters, digits,"
                                    + " '.', '_', '~', '-' and '/' that begins with '/' and ends without"
                                    + " [not_allowed]"));
        }

        @Test
        void should_reject_a_name_when_two_files_define_it() throws IOException {
            Path first = Files.writeString(folder.resolve("a.toml"), Configurations.SMALL);
            Path second = Files.writeString(
                    folder.resolve("b.toml"), "[routes.bookings]\npath_prefix = \"/b\"\npool = \"berth\"\nspeed = 1\n");

            assertThatThrownBy(() -> ConfigurationReader.read(List.of(first, second)))
                    .hasMessage(String.join(
                            "\n",
                            second + ":1: routes.bookings: found a second 'bookings', allowed: each name once"
                                    + " [duplicate]",
                            second + ":4: routes.bookings.speed: found 'speed', allowed: path_prefix, pool, open,"
                                    + " idempotent_methods, tokens_per_request [unknown_key]"));
        }

        @Test
        void should_ask_for_the_weight_store_when_it_is_missing() throws IOException {
            int start = Configurations.SMALL.indexOf("[weight_store]");
            Path file = file(Configurations.SMALL.substring(0, start));

            assertThatThrownBy(() -> ConfigurationReader.read(List.of(file)))
                    .hasMessage(file + ": weight_store: found nothing, allowed: a table [weight_store] [missing]");
        }

        private Path file(String text) throws IOException {
            return Files.writeString(folder.resolve("fleet.toml"), text);
        }
    }
}
