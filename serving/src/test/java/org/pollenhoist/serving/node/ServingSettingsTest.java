package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollenhoist.settings.InvalidSettingsException;

class ServingSettingsTest {

    private static final String SETTINGS = """
            [vm]
            name = "vm-1"
            failure_domain = "north"
            first_start = true

            [listen]
            callers = "10.0.0.1:8080"
            readiness = "10.0.0.1:8081"
            peers = "10.0.0.1:7600"
            metrics = "10.0.0.1:9464"

            [store]
            address = "10.0.0.9:8225"

            [shutdown]
            grace_seconds = 8

            [retries]
            ratio = 0.2
            window_seconds = 10
            allowance = 56

            [propagation]
            configuration_milliseconds = 3000
            leaving_milliseconds = 2000

            [upstreams]
            heartbeat_milliseconds = 1200

            [placement]
            turn_milliseconds = 3000
            """;

    @TempDir
    private Path folder;

    private ServingSettings load(String text) throws IOException {
        return ServingSettings.load(Files.writeString(folder.resolve("serving.toml"), text));
    }

    private static String withLink(String named) {
        return SETTINGS + "\n[link]\nmegabits_per_second = " + named + '\n';
    }

    @Nested
    class Loading {

        @Test
        void should_read_all_settings() throws IOException {
            ServingSettings settings = load(SETTINGS);

            assertThat(settings.vmName()).isEqualTo("vm-1");
            assertThat(settings.isFirstStart()).isTrue();
            assertThat(settings.callerAddress().getPort()).isEqualTo(8_080);
            assertThat(settings.stopGrace()).isEqualTo(Duration.ofSeconds(8));
            assertThat(settings.propagationBound()).isEqualTo(Duration.ofSeconds(2));
            assertThat(settings.upstreamHeartbeat()).isEqualTo(Duration.ofMillis(1_200));
            assertThat(settings.handoverInterval()).isEqualTo(Duration.ofSeconds(3));
        }

        @Test
        void should_know_no_link_when_none_is_named() throws IOException {
            assertThat(load(SETTINGS).linkMegabits()).isZero();
        }

        @ParameterizedTest
        @CsvSource({"1000.0, 1000", "7.0, 7", "140, 140", "0.5, 1", "0, 0"})
        void should_read_the_link_in_whole_megabits_rounded_up(String named, int megabits) throws IOException {
            assertThat(load(withLink(named)).linkMegabits()).isEqualTo(megabits);
        }

        @Test
        void should_refuse_a_link_that_is_no_bandwidth() {
            assertThatThrownBy(() -> load(withLink("-7")))
                    .isInstanceOf(InvalidSettingsException.class)
                    .hasMessageContaining(":34: link.megabits_per_second: found -7");
        }

        @Test
        void should_report_all_findings_with_their_positions() {
            String broken = SETTINGS.replace("10.0.0.1:8080", "nowhere")
                    .replace("ratio = 0.2", "ratio = 7")
                    .replace("allowance = 56", "allowances = 56");

            assertThatThrownBy(() -> load(broken))
                    .isInstanceOf(InvalidSettingsException.class)
                    .hasMessageContaining(":7: listen.callers: found 'nowhere'")
                    .hasMessageContaining(": retries.ratio: found 7")
                    .hasMessageContaining("retries.allowance")
                    .hasMessageContaining("retries.allowances");
        }
    }
}
