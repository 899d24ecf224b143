package org.pollenhoist.serving.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.serving.catalog.Engine;
import org.pollenhoist.serving.catalog.Model;

class AdapterPlanTest {

    private static final Model MODEL =
            new Model("m", 70, Duration.ofSeconds(8), Duration.ofSeconds(2), Duration.ofSeconds(1), 10, 1);
    private static final Engine ENGINE = new Engine(64, 100_000, 72, 2, 2, Map.of("m", MODEL));
    private static final ModelRequest REQUEST = new ModelRequest("s", "m", "a9");

    private final AdapterPlan plan = new AdapterPlan(ENGINE, (engine, adapter) -> adapter.equals("m/a1") ? 10 : 5);

    private static EngineView engine(String name, String... adapters) {
        return new EngineView(
                name, "north", Map.of("m", Set.of(adapters)), Set.of("m"), Set.of("m"), Set.of(), true, false, false);
    }

    @Nested
    class Planning {

        @Test
        void should_load_where_a_slot_is_free() {
            List<PlannedOrder> orders =
                    plan.plan(List.of(REQUEST), List.of(engine("one", "a1", "a2"), engine("two", "a1")));

            assertThat(orders)
                    .containsExactly(new PlannedOrder("two", new EngineOrder.LoadAdapter("m", "a9"), "adapter_wanted"));
        }

        @Test
        void should_evict_the_least_recently_used_when_all_slots_are_in_use() {
            List<PlannedOrder> orders = plan.plan(List.of(REQUEST), List.of(engine("one", "a1", "a2")));

            assertThat(orders)
                    .containsExactly(
                            new PlannedOrder("one", new EngineOrder.UnloadAdapter("m", "a2"), "least_recently_used"));
        }

        @Test
        void should_not_evict_an_adapter_for_which_other_requests_are_queued() {
            ModelRequest other = new ModelRequest("s", "m", "a2");

            List<PlannedOrder> orders = plan.plan(List.of(REQUEST, other), List.of(engine("one", "a1", "a2")));

            assertThat(orders)
                    .extracting(PlannedOrder::order)
                    .containsExactly(new EngineOrder.UnloadAdapter("m", "a1"));
        }

        @Test
        void should_order_nothing_for_an_adapter_that_is_loaded() {
            assertThat(plan.plan(List.of(REQUEST), List.of(engine("one", "a9"))))
                    .isEmpty();
        }

        @Test
        void should_send_an_engine_one_order_at_a_time() {
            ModelRequest other = new ModelRequest("s", "m", "a8");

            assertThat(plan.plan(List.of(REQUEST, other), List.of(engine("one"))))
                    .hasSize(1);
        }

        @Test
        void should_respect_the_memory_for_weights_and_adapters() {
            Engine tight = new Engine(64, 100_000, 70.5, 2, 2, Map.of("m", MODEL));

            assertThat(new AdapterPlan(tight, (engine, adapter) -> 0).plan(List.of(REQUEST), List.of(engine("one"))))
                    .isEmpty();
        }
    }
}
