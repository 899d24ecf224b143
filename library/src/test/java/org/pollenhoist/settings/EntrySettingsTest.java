package org.pollenhoist.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.VmName;

class EntrySettingsTest {

    private static final String WHOLE = """
            [vm]
            name = "entry-1"
            failure_domain = "piraeus"
            [callers]
            address = "127.0.0.1"
            port = 8080
            [peers]
            address = "127.0.0.1"
            port = 8081
            seeds = ["127.0.0.2:8081"]
            [platform]
            address = "127.0.0.1"
            port = 2379
            """;

    @TempDir
    Path folder;

    @Nested
    class Load {

        @Test
        void should_fill_in_safe_defaults_when_only_the_addresses_are_given() throws IOException {
            EntrySettings settings = EntrySettings.load(file(WHOLE));

            assertThat(settings)
                    .isEqualTo(new EntrySettings(
                            new VmSettings(VmName.of("entry-1"), FailureDomain.of("piraeus")),
                            new CallerSettings("127.0.0.1", 8080, 16_384, 4_194_304, Duration.ofSeconds(60)),
                            new PeerSettings("127.0.0.1", 8081, List.of(new InetSocketAddress("127.0.0.2", 8081))),
                            new PlatformSettings("127.0.0.1", 2379, Duration.ofMillis(500)),
                            new ShutdownSettings(Duration.ofSeconds(5), Duration.ofSeconds(60), Duration.ofSeconds(90)),
                            new SpreadSettings(2),
                            new LogSettings("info")));
        }

        @Test
        void should_report_all_findings_together_when_several_values_are_faulty() throws IOException {
            Path file = file(WHOLE.replace("\"entry-1\"", "\"Entry 1\"")
                            .replace("port = 8080", "port = 80800\nmaximum_header_bytes = \"many\"\nspeed = 3")
                            .replace("127.0.0.2:8081", "peer.example:8081")
                            .replace("[platform]\naddress = \"127.0.0.1\"", "[platform]\naddress = \"localhost\"")
                    + "[shutdown]\nunready_seconds = 5\ndrain_seconds = 60\ngrace_seconds = 65\n");

            assertThatThrownBy(() -> EntrySettings.load(file))
                    .isInstanceOf(InvalidSettingsException.class)
                    .hasMessage(String.join(
                            "\n",
                            file + ":2: vm.name: found 'Entry 1', allowed: 1 to 63 of a-z, 0-9, '.', '_' and '-',"
                                    + " the first one a letter or digit [not_allowed]",
                            file + ":6: callers.port: found 80800, allowed: a whole number from 1 to 65535"
                                    + " [not_allowed]",
                            file + ":7: callers.maximum_header_bytes: found \"many\", allowed: a whole number from"
                                    + " 1024 to 1048576 [wrong_type]",
                            file + ":8: callers.speed: found 'speed', allowed: address, port, maximum_header_bytes,"
                                    + " maximum_body_bytes, idle_timeout_seconds [unknown_key]",
                            file + ":12: peers.seeds: found 'peer.example:8081', allowed: IP number:port"
                                    + " [not_allowed]",
                            file + ":14: platform.address: found 'localhost', allowed: an IP number [not_allowed]",
                            file + ":19: shutdown.grace_seconds: found 65.0, allowed: more than unready_seconds +"
                                    + " drain_seconds = 65.0 [inconsistent]"));
        }

        @Test
        void should_name_only_the_syntax_when_the_text_is_not_toml() throws IOException {
            Path file = file("[vm]\nname = \n");

            assertThatThrownBy(() -> EntrySettings.load(file))
                    .isInstanceOfSatisfying(
                            InvalidSettingsException.class,
                            exception -> assertThat(exception.findings())
                                    .singleElement()
                                    .satisfies(finding -> {
                                        assertThat(finding.code()).isEqualTo(FindingCode.SYNTAX);
                                        assertThat(finding.line()).isEqualTo(2);
                                    }));
        }

        @Test
        void should_name_the_file_when_it_does_not_exist() {
            Path file = folder.resolve("absent.toml");

            assertThatThrownBy(() -> EntrySettings.load(file))
                    .hasMessage(file + ": found NoSuchFileException, allowed: a readable file [unreadable]");
        }

        private Path file(String text) throws IOException {
            return Files.writeString(folder.resolve("entry.toml"), text);
        }
    }
}
