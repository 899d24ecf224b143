package org.pollenhoist.serving.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.catalog.CallerLimits;
import org.pollenhoist.serving.catalog.Catalog;
import org.pollenhoist.serving.catalog.Engine;
import org.pollenhoist.serving.catalog.Model;
import org.pollenhoist.serving.catalog.Service;
import org.pollenhoist.serving.routing.PrefillRateEstimator;
import org.pollenhoist.serving.store.Store;
import org.pollenhoist.serving.store.StoreResult;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StorePage;
import org.pollenhoist.serving.upstream.ResidentModel;
import org.pollenhoist.serving.upstream.UpstreamDescription;
import org.pollenhoist.serving.upstream.UpstreamTable;

/** Plans carried out on engines that behave as the interface says, over a simulated clock. */
class PlacementDriverTest {

    private static final int MODELS = 12;
    private static final double LOADS_PER_SECOND = 2;
    private static final double MODEL_MEGABYTES = 70;
    private static final double ENGINE_MEGABYTES = 220;
    private static final long WINDOW_MILLISECONDS = 5_000;

    private final UpstreamTable upstreams = new UpstreamTable();
    private final SimulatedEngines engines = new SimulatedEngines();
    private final LeaseStore store = new LeaseStore();
    private final Catalog catalog = catalog();
    private MonotonicTime now = MonotonicTime.of(Duration.ofSeconds(100));
    private final Leadership leadership = new Leadership(store, "leader", "own", Duration.ofSeconds(3), true, now);
    private final DemandRates demand = new DemandRates();
    private final DemandTracker asked = new DemandTracker();
    private final PlacementDriver driver = new PlacementDriver(
            (delay, action) -> {}, () -> now, leadership, engines, upstreams, new PrefillRateEstimator(), engine -> {});

    private static Catalog catalog() {
        Map<String, Model> models = new HashMap<>();
        for (int index = 0; index < MODELS; index++) {
            String name = "m" + index;
            models.put(
                    name,
                    new Model(
                            name,
                            MODEL_MEGABYTES,
                            Duration.ofSeconds(8),
                            Duration.ofSeconds(2),
                            Duration.ofSeconds(1),
                            9,
                            0.1));
        }
        Engine engine = new Engine(64, 100_000, ENGINE_MEGABYTES, 8, LOADS_PER_SECOND, models);
        return Catalog.of(
                1, List.of(), List.of(new Service("llm", 300, Optional.of(engine))), List.of(), CallerLimits.DEFAULTS);
    }

    private void run(long milliseconds, List<ModelRequest> wants, Map<String, Double> work) {
        for (long passed = 0; passed < milliseconds; passed += 50) {
            ask(work);
            now = now.plus(Duration.ofMillis(50));
            engines.advance();
            store.tell();
            leadership.tick(true, now);
            driver.tick(catalog, wants, demand, now);
        }
    }

    /** Asks for so much work of models, in engines. */
    private void ask(Map<String, Double> work) {
        work.forEach((model, engines) -> {
            long microseconds = Math.round(engines * 50_000);
            asked.recordReceived(model, microseconds, now);
            asked.recordSent(model, microseconds, now);
        });
        demand.onReport("vm", asked.demand(now), now);
    }

    @Nested
    class Loads {

        @Test
        void should_stay_within_the_weight_stores_rate_in_every_window() {
            for (int index = 0; index < 20; index++) {
                engines.add("e" + index);
            }
            run(30_000, List.of(), Map.of());

            List<Long> begun = engines.loadsBegunAt;
            for (long first : begun) {
                long inWindow = begun.stream()
                        .filter(time -> time >= first && time < first + WINDOW_MILLISECONDS)
                        .count();
                assertThat(inWindow).isLessThanOrEqualTo((long) (LOADS_PER_SECOND * WINDOW_MILLISECONDS / 1_000));
            }
            assertThat(engines.allHeld()).hasSize(MODELS);
        }

        @Test
        void should_never_order_an_engine_beyond_its_memory_when_answers_are_lost() {
            for (int index = 0; index < 4; index++) {
                engines.add("e" + index);
            }
            engines.lostEvery = 3;
            run(20_000, List.of(), Map.of("m1", 5.0));
            run(20_000, List.of(), Map.of("m2", 5.0));
            run(20_000, List.of(), Map.of("m3", 5.0));

            assertThat(engines.overcommitted).isEmpty();
            assertThat(engines.orders).hasSizeGreaterThan(10);
        }
    }

    @Nested
    class NewWants {

        @Test
        void should_wait_for_the_first_plan_before_which_engines_may_be_unknown() {
            engines.add("e0");
            run(2_000, List.of(new ModelRequest("llm", "m1", "")), Map.of());

            assertThat(engines.orders).isEmpty();
        }
    }

    @Nested
    class LostAnswers {

        @Test
        void should_send_an_order_again_at_once_and_begin_one_load() {
            engines.add("e0");
            engines.ignored = 2;
            run(5_000, List.of(new ModelRequest("llm", "m1", "")), Map.of());

            assertThat(engines.orders.subList(0, 3)).containsOnly(new EngineOrder.LoadModel("m1"));
            assertThat(engines.loadsBegunAt).hasSize(1);
            assertThat(engines.loadsBegunAt.get(0)).isLessThan(104_000);
        }
    }

    @Nested
    class Authority {

        @Test
        void should_order_nothing_without_the_lease() {
            engines.add("e0");
            store.write(new byte[] {1});
            run(10_000, List.of(new ModelRequest("llm", "m1", "")), Map.of());

            assertThat(engines.orders).isEmpty();
        }

        @Test
        void should_stop_ordering_when_the_lease_can_not_be_renewed() {
            engines.add("e0");
            run(4_000, List.of(), Map.of());
            store.isReachable = false;
            run(3_000, List.of(), Map.of());
            int before = engines.orders.size();

            engines.add("e1");
            run(10_000, List.of(new ModelRequest("llm", "m9", "")), Map.of());

            assertThat(engines.orders).hasSize(before);
        }
    }

    /** Engines that check the count of orders, load for 8 s, and lose some answers though they act. */
    private final class SimulatedEngines implements EngineControl {

        private final Map<String, Set<String>> held = new HashMap<>();
        private final Map<String, Long> sequences = new HashMap<>();
        private final Map<String, String> loading = new HashMap<>();
        private final Map<String, MonotonicTime> loadedAt = new HashMap<>();
        private final List<EngineOrder> orders = new ArrayList<>();
        private final List<Long> loadsBegunAt = new ArrayList<>();
        private final List<String> overcommitted = new ArrayList<>();
        private int lostEvery = Integer.MAX_VALUE;
        private int ignored;

        private void add(String name) {
            held.put(name, new HashSet<>());
            sequences.put(name, 0L);
            describe(name);
        }

        private void describe(String name) {
            upstreams.put(
                    new UpstreamDescription(
                            name,
                            1,
                            "llm",
                            new InetSocketAddress(1),
                            "north",
                            64,
                            false,
                            sequences.get(name),
                            held.get(name).stream()
                                    .map(model -> new ResidentModel(model, 1, Set.of()))
                                    .toList(),
                            Set.of()),
                    now);
        }

        private Set<String> allHeld() {
            Set<String> all = new HashSet<>();
            held.values().forEach(all::addAll);
            return all;
        }

        private void advance() {
            for (String name : List.copyOf(loading.keySet())) {
                if (!now.isBefore(loadedAt.get(name))) {
                    held.get(name).add(loading.remove(name));
                    describe(name);
                }
            }
        }

        @Override
        public void sendOrder(
                UpstreamDescription engine,
                EngineOrder order,
                long expectedSequence,
                long fencingToken,
                Consumer<OrderOutcome> outcome) {
            String name = engine.identifier();
            orders.add(order);
            if (ignored > 0) {
                ignored--;
                outcome.accept(OrderOutcome.UNKNOWN);
                return;
            }
            if (sequences.get(name) != expectedSequence || loading.containsKey(name)) {
                outcome.accept(OrderOutcome.CONFLICT);
                return;
            }
            sequences.merge(name, 1L, Long::sum);
            switch (order) {
                case EngineOrder.LoadModel load -> begin(name, load.model());
                case EngineOrder.UnloadModel unload -> {
                    held.get(name).remove(unload.model());
                    describe(name);
                }
                case EngineOrder.LoadAdapter load -> {}
                case EngineOrder.UnloadAdapter unload -> {}
            }
            outcome.accept(orders.size() % lostEvery == 0 ? OrderOutcome.UNKNOWN : OrderOutcome.ACCEPTED);
        }

        private void begin(String name, String model) {
            loadsBegunAt.add(now.nanoseconds() / 1_000_000);
            loading.put(name, model);
            loadedAt.put(name, now.plus(Duration.ofSeconds(8)));
            if ((held.get(name).size() + 1) * MODEL_MEGABYTES > ENGINE_MEGABYTES) {
                overcommitted.add(name);
            }
        }

        @Override
        public void requestReport(UpstreamDescription engine, Consumer<Optional<EngineStatus>> answer) {
            String name = engine.identifier();
            answer.accept(Optional.of(new EngineStatus(
                    sequences.get(name),
                    loading.containsKey(name),
                    held.get(name).stream()
                            .map(model -> new ResidentModel(model, 1, Set.of()))
                            .toList())));
        }
    }

    /** Grants and renews one lease. */
    private final class LeaseStore implements Store {

        private Optional<StoreItem> record = Optional.empty();
        private Optional<StoreItem> told = Optional.empty();
        private boolean isReachable = true;

        private void write(byte[] value) {
            record = Optional.of(new StoreItem("leader", value, 7, false));
        }

        private void tell() {
            if (!record.equals(told)) {
                told = record;
                leadership.onRecord(record, now);
            }
        }

        @Override
        public void list(String prefix, String afterKey, Consumer<StoreResult<StorePage>> answer) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void watch(String prefix, long afterRevision, Duration wait, Consumer<StoreResult<StorePage>> answer) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void commit(
                List<Condition> conditions,
                List<Write> writes,
                List<String> removals,
                Consumer<StoreResult<Long>> answer) {
            if (isReachable) {
                write(writes.get(0).value());
            }
            answer.accept(reachable(7L));
        }

        @Override
        public void grantLease(Duration duration, Consumer<StoreResult<Long>> answer) {
            answer.accept(reachable(1L));
        }

        @Override
        public void renewLease(long lease, Consumer<StoreResult<Duration>> answer) {
            answer.accept(reachable(Duration.ofSeconds(3)));
        }

        private <T> StoreResult<T> reachable(T value) {
            return isReachable ? new StoreResult.Success<>(value) : new StoreResult.Unavailable<>("no answer");
        }

        @Override
        public void endLease(long lease) {
            if (isReachable) {
                record = Optional.empty();
            }
        }
    }
}
