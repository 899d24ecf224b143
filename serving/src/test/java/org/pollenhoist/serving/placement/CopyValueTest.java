package org.pollenhoist.serving.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.serving.catalog.Engine;
import org.pollenhoist.serving.catalog.Model;

class CopyValueTest {

    private static final Engine ENGINE = new Engine(
            64,
            100_000,
            220,
            8,
            2,
            Map.of("busy", model("busy", 0), "idle", model("idle", 0), "adapted", model("adapted", 9)));

    private static Model model(String name, int adapters) {
        return new Model(name, 70, Duration.ofSeconds(8), Duration.ofSeconds(2), Duration.ofSeconds(1), adapters, 0.1);
    }

    private static CopyValue values(Map<String, Double> work) {
        return new CopyValue(ENGINE, work, model -> 1, 10);
    }

    @Nested
    class Copies {

        @Test
        void should_have_less_value_the_more_there_are() {
            CopyValue value = values(Map.of("busy", 3.0));

            for (int copies = 1; copies < 12; copies++) {
                assertThat(value.ofNextCopy("busy", copies + 1, false))
                        .isLessThan(value.ofNextCopy("busy", copies, false));
            }
        }

        @Test
        void should_have_the_value_of_the_work_that_is_lost_without_them() {
            CopyValue value = values(Map.of("busy", 9.0));

            assertThat(value.ofNextCopy("busy", 1, false)).isGreaterThan(0.5);
        }

        @Test
        void should_have_the_same_value_when_removed_as_when_added() {
            CopyValue value = values(Map.of("busy", 3.0));

            assertThat(value.ofLastCopy("busy", 4)).isEqualTo(value.ofNextCopy("busy", 3, false));
        }

        @Test
        void should_have_more_value_when_the_model_may_become_busy() {
            CopyValue value = values(Map.of("busy", 3.0));

            assertThat(value.ofNextCopy("adapted", 1, false)).isGreaterThan(value.ofNextCopy("idle", 1, false));
        }
    }

    @Nested
    class FirstCopy {

        @Test
        void should_have_a_value_when_there_is_no_demand() {
            assertThat(values(Map.of()).ofNextCopy("idle", 0, false)).isPositive();
        }

        @Test
        void should_have_more_value_when_requests_are_queued_for_it() {
            CopyValue value = values(Map.of("busy", 3.0));

            assertThat(value.ofNextCopy("idle", 0, true)).isGreaterThan(value.ofNextCopy("idle", 0, false));
            assertThat(value.ofNextCopy("idle", 0, true)).isGreaterThan(value.ofNextCopy("busy", 8, false));
        }
    }

    @Nested
    class Overload {

        @Test
        void should_begin_before_the_copies_are_at_their_limit() {
            assertThat(values(Map.of("busy", 0.3)).isOverloaded("busy", 1)).isFalse();
            assertThat(values(Map.of("busy", 0.6)).isOverloaded("busy", 1)).isTrue();
            assertThat(values(Map.of("busy", 0.6)).isOverloaded("busy", 2)).isFalse();
        }
    }
}
