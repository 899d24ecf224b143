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

    /** Three models fit into the memory of an engine. */
    private static final Engine ENGINE = new Engine(
            64, 100_000, 220, 8, 2, Map.of("a", model("a"), "b", model("b"), "c", model("c"), "d", model("d")));

    private static Model model(String name) {
        return new Model(name, 70, Duration.ofSeconds(8), Duration.ofSeconds(2), Duration.ofSeconds(1), 10, 0.1);
    }

    private static EngineView engine(String name, String... models) {
        return engine(name, true, Set.of(), models);
    }

    private static EngineView engine(String name, boolean isFree, Set<String> localCopies, String... models) {
        Map<String, Set<String>> residents = new HashMap<>();
        List.of(models).forEach(model -> residents.put(model, Set.of()));
        return new EngineView(
                name, "north", residents, Set.of(models), Set.of(models), localCopies, isFree, false, false);
    }

    private static List<PlannedOrder> plan(
            Map<String, Double> work, List<EngineView> engines, Set<String> requestedModels, int maximumStoreLoads) {
        return new ModelPlan(ENGINE, work, model -> 1, engines, Map.of()).plan(requestedModels, maximumStoreLoads);
    }

    private static List<EngineOrder> orders(
            Map<String, Double> work, List<EngineView> engines, Set<String> requestedModels, int maximumStoreLoads) {
        return plan(work, engines, requestedModels, maximumStoreLoads).stream()
                .map(PlannedOrder::order)
                .toList();
    }

    private static long loads(List<EngineOrder> orders, String model) {
        return orders.stream()
                .filter(order -> order.equals(new EngineOrder.LoadModel(model)))
                .count();
    }

    @Nested
    class ModelsWithoutCopies {

        @Test
        void should_load_a_model_without_a_copy_where_it_fits() {
            List<EngineView> engines = List.of(engine("one", "a", "b"), engine("two", "a", "b", "c"));

            assertThat(plan(Map.of(), engines, Set.of(), 4))
                    .containsExactly(new PlannedOrder("one", new EngineOrder.LoadModel("d"), "no_copy"));
        }

        @Test
        void should_prefer_an_engine_with_a_local_copy_of_the_weights() {
            List<EngineView> engines = List.of(engine("one", "a", "b"), engine("two", true, Set.of("d"), "a", "c"));

            assertThat(plan(Map.of(), engines, Set.of(), 1))
                    .contains(new PlannedOrder("two", new EngineOrder.LoadModel("d"), "no_copy"));
        }

        @Test
        void should_unload_only_a_model_that_has_another_copy() {
            List<EngineView> engines = List.of(engine("one", "a", "b", "c"), engine("two", "a", "b", "c"));
            // There is demand for a and b only.

            assertThat(orders(Map.of("a", 1.0, "b", 1.0), engines, Set.of(), 4))
                    .containsExactly(new EngineOrder.UnloadModel("c"));
        }

        @Test
        void should_not_unload_last_copies_when_no_requests_are_queued_for_the_replacement() {
            List<EngineView> engines = List.of(engine("one", "a", "b", "c"));

            assertThat(plan(Map.of(), engines, Set.of(), 4)).isEmpty();
        }

        @Test
        void should_unload_an_idle_last_copy_when_requests_are_queued_for_the_replacement() {
            List<EngineView> engines = List.of(engine("one", "a", "b", "c"));

            assertThat(orders(Map.of("a", 0.5, "b", 0.5), engines, Set.of("d"), 4))
                    .containsExactly(new EngineOrder.UnloadModel("c"));
        }

        @Test
        void should_load_models_without_a_copy_in_addition_to_an_overloaded_one() {
            List<EngineView> engines = List.of(engine("one", "a"), engine("two"), engine("three"), engine("four"));

            List<EngineOrder> orders = orders(Map.of("a", 9.0), engines, Set.of("b", "c"), 4);

            assertThat(loads(orders, "a")).isPositive();
            assertThat(loads(orders, "b") + loads(orders, "c")).isPositive();
        }
    }

    @Nested
    class ReservedMemory {

        @Test
        void should_be_used_only_by_the_model_it_is_reserved_for() {
            List<EngineView> engines = List.of(engine("one", "a", "b"), engine("two", "a", "c", "d"));

            assertThat(new ModelPlan(ENGINE, Map.of("a", 9.0), model -> 1, engines, Map.of("one", "d"))
                            .plan(Set.of(), 4))
                    .noneMatch(order -> order.engine().equals("one"));
        }

        @Test
        void should_not_be_freed_twice_for_one_model() {
            List<EngineView> engines = List.of(unloading("one", "c"), engine("two", "a", "b", "c"));

            assertThat(new ModelPlan(ENGINE, Map.of(), model -> 1, engines, Map.of("one", "d")).plan(Set.of("d"), 4))
                    .isEmpty();
        }

        @Test
        void should_not_be_freed_from_busy_copies_for_a_model_without_demand() {
            List<EngineView> engines = List.of(engine("one", "a", "b", "c"), engine("two", "a", "b", "c"));

            assertThat(plan(Map.of("a", 1.0, "b", 1.0, "c", 1.0), engines, Set.of(), 4))
                    .isEmpty();
        }
    }

    @Nested
    class BusyModels {

        @Test
        void should_replace_spare_copies_of_idle_models_by_a_busy_model() {
            List<EngineView> engines =
                    List.of(engine("one", "a", "b", "c"), engine("two", "b", "c", "d"), engine("three", "b", "c", "d"));

            List<PlannedOrder> orders = plan(Map.of("a", 2.0), engines, Set.of(), 1);

            assertThat(orders).hasSize(1);
            assertThat(orders.get(0).order()).isInstanceOf(EngineOrder.UnloadModel.class);
            assertThat(orders.get(0).reason()).isEqualTo("further_copy_a");
            assertThat(orders.get(0).reservedFor()).isEqualTo("a");
        }

        @Test
        void should_never_unload_all_copies_of_a_model_in_one_plan() {
            List<EngineView> engines =
                    List.of(engine("one", "a", "b", "c"), engine("two", "b", "c", "d"), engine("three", "b", "c", "d"));

            List<EngineOrder> orders = orders(Map.of("a", 9.0), engines, Set.of(), 9);

            for (String model : List.of("b", "c", "d")) {
                long unloaded = orders.stream()
                        .filter(order -> order.equals(new EngineOrder.UnloadModel(model)))
                        .count();
                long loaded = engines.stream()
                        .filter(view -> view.readyOrLoadingModels().contains(model))
                        .count();
                assertThat(loaded - unloaded).as("copies of %s", model).isPositive();
            }
        }

        @Test
        void should_not_count_a_copy_that_is_being_unloaded() {
            List<EngineView> engines =
                    List.of(unloading("one", "c"), engine("two", "a", "b", "c"), engine("three", "a", "b", "d"));

            assertThat(orders(Map.of("a", 9.0), engines, Set.of(), 9))
                    .doesNotContain(new EngineOrder.UnloadModel("c"), new EngineOrder.UnloadModel("d"));
        }

        @Test
        void should_not_unload_the_only_ready_copy_while_another_is_being_loaded() {
            EngineView loading = new EngineView(
                    "one", "north", Map.of("c", Set.of()), Set.of("c"), Set.of(), Set.of(), false, true, false);
            List<EngineView> engines = List.of(loading, engine("two", "a", "b", "c"), engine("three", "a", "b", "d"));

            assertThat(orders(Map.of("a", 9.0), engines, Set.of(), 9)).doesNotContain(new EngineOrder.UnloadModel("c"));
        }

        @Test
        void should_not_exchange_copies_of_two_models_that_are_equally_overloaded() {
            List<EngineView> engines = List.of(
                    engine("one", "a", "c", "d"),
                    engine("two", "a", "c", "d"),
                    engine("three", "b", "c", "d"),
                    engine("four", "b", "c", "d"));

            assertThat(orders(Map.of("a", 4.0, "b", 4.0, "c", 4.0, "d", 4.0), engines, Set.of(), 9))
                    .isEmpty();
        }

        @Test
        void should_replace_copies_of_a_model_with_falling_demand_by_one_with_rising_demand() {
            List<EngineView> engines = List.of(
                    engine("one", "a", "b", "c"), engine("two", "a", "d"), engine("three", "a"), engine("four", "a"));

            assertThat(loads(orders(Map.of("a", 0.2, "b", 3.0), engines, Set.of(), 9), "b"))
                    .isGreaterThanOrEqualTo(2);
        }

        @Test
        void should_send_no_order_to_an_engine_on_which_one_is_in_progress() {
            List<EngineView> engines = List.of(engine("one", false, Set.of(), "a", "b"));

            assertThat(plan(Map.of("a", 9.0), engines, Set.of("d"), 9)).isEmpty();
        }
    }

    @Nested
    class SpeculativeLoads {

        /** Only model a has adapters, so that demand is expected to shift to it. */
        private static final Engine ONLY_A_HAS_ADAPTERS = new Engine(
                64,
                100_000,
                220,
                8,
                2,
                Map.of("a", model("a"), "b", modelWithoutAdapters("b"), "c", modelWithoutAdapters("c")));

        private static Model modelWithoutAdapters(String name) {
            return new Model(name, 70, Duration.ofSeconds(8), Duration.ofSeconds(2), Duration.ofSeconds(1), 0, 0);
        }

        @Test
        void should_load_a_second_copy_of_a_model_with_adapters_into_free_memory() {
            List<EngineView> engines = List.of(engine("one", "a", "b", "c"), engine("two", "b", "c"));

            List<PlannedOrder> orders =
                    new ModelPlan(ONLY_A_HAS_ADAPTERS, Map.of(), model -> 1, engines, Map.of()).plan(Set.of(), 9);

            assertThat(orders).extracting(PlannedOrder::order).containsExactly(new EngineOrder.LoadModel("a"));
        }

        @Test
        void should_keep_most_engines_free_for_models_that_become_busy() {
            List<EngineView> engines = new java.util.ArrayList<>();
            for (int index = 0; index < 8; index++) {
                engines.add(engine("engine-" + index, "b", "c"));
            }
            engines.add(engine("holder", "a", "b", "c"));

            List<PlannedOrder> orders =
                    new ModelPlan(ONLY_A_HAS_ADAPTERS, Map.of(), model -> 1, engines, Map.of()).plan(Set.of(), 99);

            assertThat(orders).hasSizeLessThanOrEqualTo(3);
        }
    }

    private static EngineView unloading(String name, String unloaded) {
        return new EngineView(
                name,
                "north",
                Map.of("a", Set.of(), "b", Set.of(), unloaded, Set.of()),
                Set.of("a", "b"),
                Set.of("a", "b"),
                Set.of(),
                false,
                true,
                false);
    }

    private static EngineView rateLimited(String name, String... models) {
        EngineView view = engine(name, models);
        return new EngineView(
                name,
                view.failureDomain(),
                view.possibleResidents(),
                view.readyOrLoadingModels(),
                view.readyModels(),
                view.localCopies(),
                true,
                false,
                true);
    }

    @Nested
    class RateLimitedEngines {

        @Test
        void should_get_another_copy_of_a_model_in_demand_elsewhere() {
            List<EngineView> engines =
                    List.of(rateLimited("one", "a", "b"), engine("two", "b", "c", "d"), engine("three"));

            assertThat(plan(Map.of("a", 0.2), engines, Set.of(), 1))
                    .containsExactly(new PlannedOrder("three", new EngineOrder.LoadModel("a"), "no_copy"));
        }

        @Test
        void should_keep_the_only_copy_of_a_model_without_demand() {
            List<EngineView> engines = List.of(rateLimited("one", "a", "b", "c", "d"), engine("two"));

            assertThat(plan(Map.of(), engines, Set.of(), 4))
                    .filteredOn(order -> order.reason().equals("no_copy"))
                    .isEmpty();
        }

        @Test
        void should_not_load_models() {
            List<EngineView> engines = List.of(rateLimited("one", "a"), rateLimited("two"));

            assertThat(plan(Map.of("a", 0.5, "b", 0.5), engines, Set.of("b"), 4))
                    .isEmpty();
        }

        @Test
        void should_not_be_left_with_the_last_copies_of_models_in_demand() {
            List<EngineView> engines = List.of(rateLimited("one", "a", "b"), engine("two", "a", "b", "c"));

            assertThat(orders(Map.of("a", 0.3, "b", 0.3, "c", 0.3), engines, Set.of("d"), 4))
                    .noneMatch(order -> order instanceof EngineOrder.UnloadModel);
        }
    }
}
