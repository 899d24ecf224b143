package org.pollenhoist.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class KeyScrubberTest {

    private static final String KEY = "ph_crew1_0123456789abcdefABCDEF_-0123";

    private final KeyScrubber scrubber = KeyScrubber.of(Optional.of("sesame-of-old-form"));

    @Nested
    class HoldsKey {

        @Test
        void should_find_anything_of_a_key_form() {
            assertThat(scrubber.holdsKey("/bookings/" + KEY)).isTrue();
        }

        @Test
        void should_find_the_presented_key_whatever_its_form() {
            assertThat(scrubber.holdsKey("token=sesame-of-old-form")).isTrue();
        }

        @Test
        void should_find_a_key_when_it_is_percent_encoded_twice() {
            String once = "%70h_crew1_" + KEY.substring("ph_crew1_".length());
            String twice = URLEncoder.encode(once, StandardCharsets.UTF_8);

            assertThat(scrubber.holdsKey(twice)).isTrue();
        }

        @Test
        void should_leave_ordinary_text() {
            assertThat(scrubber.holdsKey("boat=alkyon&guests=4&note=100%25")).isFalse();
        }
    }

    @Nested
    class CleanQuery {

        @Test
        void should_drop_only_the_parameters_that_hold_a_key() {
            assertThat(scrubber.cleanQuery("boat=alkyon&api_key=" + KEY + "&guests=4"))
                    .isEqualTo("boat=alkyon&guests=4");
        }
    }
}
