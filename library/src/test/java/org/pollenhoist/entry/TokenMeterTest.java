package org.pollenhoist.entry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TokenMeterTest {

    @Nested
    class Used {

        @Test
        void should_take_the_engines_own_statement_when_it_comes_in_two_parts() {
            TokenMeter meter = new TokenMeter(7);
            meter.read("data: {\"usage\":{\"total_tok");
            meter.read("ens\":123}}\n\n");

            assertThat(meter.used()).isEqualTo(123);
        }

        @Test
        void should_count_events_once_when_there_is_no_statement() {
            TokenMeter meter = new TokenMeter(7);
            meter.read("data: a\n\nda");
            meter.read("ta: b\n\n");
            meter.read("data: c\n\n");

            assertThat(meter.used()).isEqualTo(7 + 3);
        }
    }
}
