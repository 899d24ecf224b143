package org.pollenhoist.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PlacementSettingsTest {

    @TempDir
    Path folder;

    @Nested
    class Load {

        @Test
        void should_read_the_place_of_metrics() throws IOException {
            Path file = Files.writeString(folder.resolve("placement.toml"), """
                    [vm]
                    name = "placement-1"
                    failure_domain = "piraeus"
                    [metrics]
                    address = "127.0.0.1"
                    port = 9100
                    [peers]
                    address = "::1"
                    port = 8081
                    [platform]
                    address = "127.0.0.1"
                    port = 2379
                    """);

            assertThat(PlacementSettings.load(file).metrics()).isEqualTo(new MetricsSettings("127.0.0.1", 9100));
        }

        @Test
        void should_name_every_missing_key_when_the_file_is_empty() throws IOException {
            Path file = Files.writeString(folder.resolve("placement.toml"), "");

            assertThatThrownBy(() -> PlacementSettings.load(file))
                    .hasMessageContaining("vm.name: found nothing, allowed: a text [missing]")
                    .hasMessageContaining("vm.failure_domain: found nothing")
                    .hasMessageContaining("metrics.port: found nothing, allowed: a whole number from 1 to 65535")
                    .hasMessageContaining("peers.address: found nothing")
                    .hasMessageContaining("platform.address: found nothing");
        }
    }
}
