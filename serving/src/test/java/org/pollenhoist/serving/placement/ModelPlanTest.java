package org.pollenhoist.serving.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.serving.catalog.Engine;
import org.pollenhoist.serving.catalog.Model;

class ModelPlanTest {

    /** Three models fit into an engine. */
    private static final Engine ENGINE = new Engine(
            64, 100_000, 220, 8, 2, Map.of("a", model("a"), "b", model("b"), "c", model("c"), "d", model("d")));

    private static Model model(String name) {
        return new Model(name, 70, Duration.ofSeconds(8), Duration.ofSeconds(2), Duration.ofSeconds(1), 10, 0.1);
    }

    private static EngineView engine(String name, String... models) {
        return engine(name, true, Set.of(), models);
    }

    private static EngineView engine(String name, boolean isFree, Set<String> copies, String... models) {
        Map<String, Set<String>> holdings = new HashMap<>();
        List.of(models).forEach(held -> holdings.put(held, Set.of()));
        return new EngineView(name, "north", holdings, Set.of(models), copies, isFree, 0);
    }

    @Nested
    class Missing {

        @Test
        void should_load_model_without_a_copy_where_there_is_room() {
            List<EngineView> engines = List.of(engine("one", "a", "b"), engine("two", "a", "b", "c"));

            List<PlannedOrder> orders = new ModelPlan(ENGINE, Map.of(), engines, Map.of(), 0).plan(Set.of(), 4);

            assertThat(orders).containsExactly(new PlannedOrder("one", new EngineOrder.LoadModel("d"), "no_copy"));
        }

        @Test
        void should_prefer_an_engine_with_a_copy_on_its_disk() {
            List<EngineView> engines = List.of(engine("one", "a", "b"), engine("two", true, Set.of("d"), "a", "c"));

            List<PlannedOrder> orders = new ModelPlan(ENGINE, Map.of(), engines, Map.of(), 0).plan(Set.of(), 1);

            assertThat(orders).containsExactly(new PlannedOrder("two", new EngineOrder.LoadModel("d"), "no_copy"));
        }

        @Test
        void should_make_room_only_where_another_copy_is_left() {
            List<EngineView> engines = List.of(engine("one", "a", "b", "c"), engine("two", "a", "b", "c"));
            // The copies of a and b are needed.

            List<PlannedOrder> orders =
                    new ModelPlan(ENGINE, Map.of("a", 1.0, "b", 1.0), engines, Map.of(), 0).plan(Set.of(), 4);

            assertThat(orders).hasSize(1);
            assertThat(orders.get(0).order()).isEqualTo(new EngineOrder.UnloadModel("c"));
        }

        @Test
        void should_not_give_last_copies_up_for_a_model_that_nobody_waits_for() {
            List<EngineView> engines = List.of(engine("one", "a", "b", "c"));

            assertThat(new ModelPlan(ENGINE, Map.of(), engines, Map.of(), 0).plan(Set.of(), 4))
                    .isEmpty();
        }

        @Test
        void should_give_an_idle_last_copy_up_for_a_model_that_requests_wait_for() {
            List<EngineView> engines = List.of(engine("one", "a", "b", "c"));

            List<PlannedOrder> orders =
                    new ModelPlan(ENGINE, Map.of("a", 0.5, "b", 0.5), engines, Map.of(), 0).plan(Set.of("d"), 4);

            assertThat(orders).extracting(PlannedOrder::order).containsExactly(new EngineOrder.UnloadModel("c"));
        }
    }

    @Nested
    class Turns {

        @Test
        void should_alternate_between_models_without_a_copy_and_overloaded_ones() {
            List<EngineView> engines = List.of(engine("one", "a"), engine("two"), engine("three"), engine("four"));

            List<PlannedOrder> orders =
                    new ModelPlan(ENGINE, Map.of("a", 9.0), engines, Map.of(), 0).plan(Set.of("b", "c"), 4);

            assertThat(orders)
                    .extracting(PlannedOrder::order)
                    .containsExactly(
                            new EngineOrder.LoadModel("b"),
                            new EngineOrder.LoadModel("a"),
                            new EngineOrder.LoadModel("a"),
                            new EngineOrder.LoadModel("c"));
        }
    }

    @Nested
    class Room {

        @Test
        void should_be_used_for_the_model_it_was_made_for() {
            List<EngineView> engines = List.of(engine("one", "a", "b"), engine("two", "a", "c", "d"));

            List<PlannedOrder> orders =
                    new ModelPlan(ENGINE, Map.of("a", 9.0), engines, Map.of("one", "d"), 0).plan(Set.of(), 4);

            assertThat(orders).containsExactly(new PlannedOrder("one", new EngineOrder.LoadModel("d"), "room_made"));
        }

        @Test
        void should_not_be_made_twice_for_one_model() {
            EngineView dropping = new EngineView(
                    "one",
                    "north",
                    Map.of("a", Set.of(), "b", Set.of(), "c", Set.of()),
                    Set.of("a", "b"),
                    Set.of(),
                    false,
                    0);
            List<EngineView> engines = List.of(dropping, engine("two", "a", "b", "c"));

            assertThat(new ModelPlan(ENGINE, Map.of(), engines, Map.of("one", "d"), 0).plan(Set.of("d"), 4))
                    .isEmpty();
        }

        @Test
        void should_not_be_made_at_the_cost_of_busy_copies_for_a_model_nobody_asks_for() {
            List<EngineView> engines = List.of(engine("one", "a", "b", "c"), engine("two", "a", "b", "c"));

            assertThat(new ModelPlan(ENGINE, Map.of("a", 1.0, "b", 1.0, "c", 1.0), engines, Map.of(), 0)
                            .plan(Set.of(), 4))
                    .isEmpty();
        }
    }

    @Nested
    class Busy {

        @Test
        void should_give_a_busy_model_the_places_of_idle_ones_with_spare_copies() {
            List<EngineView> engines =
                    List.of(engine("one", "a", "b", "c"), engine("two", "b", "c", "d"), engine("three", "b", "c", "d"));

            List<PlannedOrder> orders = new ModelPlan(ENGINE, Map.of("a", 2.0), engines, Map.of(), 0).plan(Set.of(), 1);

            assertThat(orders).hasSize(1);
            assertThat(orders.get(0).order()).isInstanceOf(EngineOrder.UnloadModel.class);
            assertThat(orders.get(0).reason()).isEqualTo("busy_a");
        }

        @Test
        void should_never_take_all_copies_of_a_model_in_one_plan() {
            List<EngineView> engines =
                    List.of(engine("one", "a", "b", "c"), engine("two", "b", "c", "d"), engine("three", "b", "c", "d"));

            List<PlannedOrder> orders = new ModelPlan(ENGINE, Map.of("a", 9.0), engines, Map.of(), 0).plan(Set.of(), 9);

            for (String model : List.of("b", "c", "d")) {
                long dropped = orders.stream()
                        .filter(order -> order.order().equals(new EngineOrder.UnloadModel(model)))
                        .count();
                long held = engines.stream()
                        .filter(view -> view.models().contains(model))
                        .count();
                assertThat(held - dropped).as("copies of %s", model).isPositive();
            }
        }

        @Test
        void should_not_count_a_copy_that_is_being_dropped() {
            EngineView dropping = new EngineView(
                    "one",
                    "north",
                    Map.of("a", Set.of(), "b", Set.of(), "c", Set.of()),
                    Set.of("a", "b"),
                    Set.of(),
                    false,
                    0);
            List<EngineView> engines = List.of(dropping, engine("two", "a", "b", "c"), engine("three", "a", "b", "d"));

            List<PlannedOrder> orders = new ModelPlan(ENGINE, Map.of("a", 9.0), engines, Map.of(), 0).plan(Set.of(), 9);

            assertThat(orders)
                    .extracting(PlannedOrder::order)
                    .doesNotContain(new EngineOrder.UnloadModel("c"), new EngineOrder.UnloadModel("d"));
        }

        @Test
        void should_leave_engines_alone_on_which_an_order_is_in_progress() {
            List<EngineView> engines = List.of(engine("one", false, Set.of(), "a", "b"));

            assertThat(new ModelPlan(ENGINE, Map.of("a", 9.0), engines, Map.of(), 0).plan(Set.of("d"), 9))
                    .isEmpty();
        }
    }
}
