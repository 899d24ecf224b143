package org.pollenhoist.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.common.TeamName;

class ConfigurationCodecTest {

    @Nested
    class Decode {

        @Test
        void should_give_back_what_was_encoded() {
            Configuration small = Configurations.small();
            KeyRecord key = new KeyRecord("a1", TeamName.of("crews"), "00ff");
            Configuration configuration = new Configuration(
                    small.teams(),
                    small.profiles(),
                    small.models(),
                    small.routes(),
                    small.upstreams(),
                    small.weightStore(),
                    Map.of(key.digest(), key));

            byte[] content = ConfigurationCodec.encode(configuration);

            assertThat(ConfigurationCodec.decode(content)).isEqualTo(configuration);
        }

        @Test
        void should_name_the_size_when_the_bytes_are_not_a_configuration() {
            byte[] content = "{\"rules\":".getBytes(StandardCharsets.UTF_8);

            assertThatThrownBy(() -> ConfigurationCodec.decode(content))
                    .isInstanceOf(PollenhoistException.class)
                    .hasMessageStartingWith("stored configuration of 9 bytes can't be decoded: ");
        }
    }

    @Nested
    class Encode {

        @Test
        void should_write_sets_in_order_so_that_equal_configurations_give_equal_bytes() {
            String text = new String(ConfigurationCodec.encode(Configurations.small()), StandardCharsets.UTF_8);

            assertThat(text)
                    .startsWith("{\"rules\":{\"teams\":[{\"name\":\"crews\"")
                    .contains("\"adapters\":[\"english\",\"greek\"]")
                    .endsWith(",\"keys\":[]}");
        }
    }
}
