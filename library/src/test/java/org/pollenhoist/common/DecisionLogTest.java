package org.pollenhoist.common;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DecisionLogTest {

    @Nested
    class Line {

        @Test
        void should_write_key_value_pairs_in_order() {
            assertThat(DecisionLog.line("route", "model", "scribe", "waiting", 3))
                    .isEqualTo("event=route model=scribe waiting=3");
        }

        @Test
        void should_quote_a_value_when_it_could_break_the_line() {
            assertThat(DecisionLog.line("refuse", "reason", "a=b \"c\"\nd"))
                    .isEqualTo("event=refuse reason=\"a=b \\\"c\\\"\\nd\"");
        }
    }
}
