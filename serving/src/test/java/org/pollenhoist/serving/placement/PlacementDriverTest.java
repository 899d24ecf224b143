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
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StoreLease;
import org.pollenhoist.serving.store.StorePage;
import org.pollenhoist.serving.store.StoreResult;
import org.pollenhoist.serving.store.StoreRevision;
import org.pollenhoist.serving.upstream.HeldModel;
import org.pollenhoist.serving.upstream.UpstreamDescription;
import org.pollenhoist.serving.upstream.UpstreamTable;

/** Executes plans on simulated engines that follow the engine interface, with a simulated clock. */
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
    private final DemandTracker demandTracker = new DemandTracker();
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

    private void run(long milliseconds, List<ModelRequest> modelRequests, Map<String, Double> work) {
        for (long passed = 0; passed < milliseconds; passed += 50) {
            requestWork(work);
            now = now.plus(Duration.ofMillis(50));
            engines.advance();
            store.notifyLeadership();
            leadership.tick(true, now);
            driver.tick(catalog, modelRequests, demand, now);
        }
    }

    /** Requests work of models for one step, given as the number of engines that it keeps busy. */
    private void requestWork(Map<String, Double> work) {
        work.forEach((model, engines) -> {
            long microseconds = Math.round(engines * 50_000);
            demandTracker.recordReceived(model, microseconds, now);
            demandTracker.recordSent(model, microseconds, now);
        });
        demand.onReport("vm", demandTracker.demand(now), now);
    }

    @Nested
    class StoreLoads {

        @Test
        void should_stay_within_the_weight_stores_rate_in_every_window() {
            for (int index = 0; index < 20; index++) {
                engines.add("e" + index);
            }
            run(30_000, List.of(), Map.of());

            List<Long> started = engines.loadsStartedAt;
            for (long first : started) {
                long inWindow = started.stream()
                        .filter(time -> time >= first && time < first + WINDOW_MILLISECONDS)
                        .count();
                assertThat(inWindow).isLessThanOrEqualTo((long) (LOADS_PER_SECOND * WINDOW_MILLISECONDS / 1_000));
            }
            assertThat(engines.allResidents()).hasSize(MODELS);
        }

        @Test
        void should_never_exceed_the_memory_of_an_engine_when_responses_are_lost() {
            for (int index = 0; index < 4; index++) {
                engines.add("e" + index);
            }
            engines.lostResponseInterval = 3;
            run(20_000, List.of(), Map.of("m1", 5.0));
            run(20_000, List.of(), Map.of("m2", 5.0));
            run(20_000, List.of(), Map.of("m3", 5.0));

            assertThat(engines.overcommitted).isEmpty();
            assertThat(engines.orders).hasSizeGreaterThan(10);
        }
    }

    @Nested
    class FirstPlan {

        @Test
        void should_not_send_orders_before_all_engines_can_have_registered() {
            engines.add("e0");
            run(2_000, List.of(new ModelRequest("llm", "m1", "")), Map.of());

            assertThat(engines.orders).isEmpty();
        }
    }

    @Nested
    class LostResponses {

        @Test
        void should_retry_an_order_at_once_and_start_one_load() {
            engines.add("e0");
            engines.ignoredOrders = 2;
            run(5_000, List.of(new ModelRequest("llm", "m1", "")), Map.of());

            assertThat(engines.orders.subList(0, 3)).containsOnly(new EngineOrder.LoadModel("m1"));
            assertThat(engines.loadsStartedAt).hasSize(1);
            assertThat(engines.loadsStartedAt.get(0)).isLessThan(104_000);
        }
    }

    @Nested
    class LeadershipRequired {

        @Test
        void should_send_no_orders_without_the_lease() {
            engines.add("e0");
            store.write(new byte[] {1});
            run(10_000, List.of(new ModelRequest("llm", "m1", "")), Map.of());

            assertThat(engines.orders).isEmpty();
        }

        @Test
        void should_stop_sending_orders_when_the_lease_cannot_be_renewed() {
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

    /** Engines that check the count of orders, load for 8 s, and lose some responses to orders that they execute. */
    private final class SimulatedEngines implements EngineControl {

        private final Map<String, Set<String>> residents = new HashMap<>();
        private final Map<String, Long> sequences = new HashMap<>();
        private final Map<String, String> loading = new HashMap<>();
        private final Map<String, MonotonicTime> loadedAt = new HashMap<>();
        private final List<EngineOrder> orders = new ArrayList<>();
        private final List<Long> loadsStartedAt = new ArrayList<>();
        private final List<String> overcommitted = new ArrayList<>();
        private int lostResponseInterval = Integer.MAX_VALUE;
        private int ignoredOrders;

        private void add(String name) {
            residents.put(name, new HashSet<>());
            sequences.put(name, 0L);
            describe(name);
        }

        private void describe(String name) {
            upstreams.put(
                    new UpstreamDescription(
                            name,
                            1,
                            "llm",
                            "v1",
                            new InetSocketAddress(1),
                            "north",
                            64,
                            false,
                            sequences.get(name),
                            residents.get(name).stream()
                                    .map(model -> new HeldModel(model, 1, Set.of()))
                                    .toList(),
                            Set.of()),
                    now);
        }

        private Set<String> allResidents() {
            Set<String> all = new HashSet<>();
            residents.values().forEach(all::addAll);
            return all;
        }

        private void advance() {
            for (String name : List.copyOf(loading.keySet())) {
                if (!now.isBefore(loadedAt.get(name))) {
                    residents.get(name).add(loading.remove(name));
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
            if (ignoredOrders > 0) {
                ignoredOrders--;
                outcome.accept(OrderOutcome.UNKNOWN);
                return;
            }
            if (sequences.get(name) != expectedSequence || loading.containsKey(name)) {
                outcome.accept(OrderOutcome.CONFLICT);
                return;
            }
            sequences.merge(name, 1L, Long::sum);
            switch (order) {
                case EngineOrder.LoadModel load -> startLoad(name, load.model());
                case EngineOrder.UnloadModel unload -> {
                    residents.get(name).remove(unload.model());
                    describe(name);
                }
                case EngineOrder.LoadAdapter load -> {}
                case EngineOrder.UnloadAdapter unload -> {}
            }
            outcome.accept(orders.size() % lostResponseInterval == 0 ? OrderOutcome.UNKNOWN : OrderOutcome.ACCEPTED);
        }

        private void startLoad(String name, String model) {
            loadsStartedAt.add(now.nanoseconds() / 1_000_000);
            loading.put(name, model);
            loadedAt.put(name, now.plus(Duration.ofSeconds(8)));
            if ((residents.get(name).size() + 1) * MODEL_MEGABYTES > ENGINE_MEGABYTES) {
                overcommitted.add(name);
            }
        }

        @Override
        public void requestReport(UpstreamDescription engine, Consumer<Optional<EngineStatus>> response) {
            String name = engine.identifier();
            response.accept(Optional.of(new EngineStatus(
                    sequences.get(name),
                    loading.containsKey(name),
                    residents.get(name).stream()
                            .map(model -> new HeldModel(model, 1, Set.of()))
                            .toList())));
        }
    }

    /** A store that grants and renews one lease. */
    private final class LeaseStore implements Store {

        private Optional<StoreItem> record = Optional.empty();
        private Optional<StoreItem> notified = Optional.empty();
        private boolean isReachable = true;

        private void write(byte[] value) {
            record = Optional.of(new StoreItem("leader", value, StoreRevision.withoutEra(7), false));
        }

        private void notifyLeadership() {
            if (!record.equals(notified)) {
                notified = record;
                leadership.onRecord(record, now);
            }
        }

        @Override
        public void list(String prefix, String afterKey, Consumer<StoreResult<StorePage>> response) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void watch(
                String prefix, StoreRevision afterRevision, Duration wait, Consumer<StoreResult<StorePage>> response) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void commit(
                List<Condition> conditions,
                List<Write> writes,
                List<String> removals,
                Consumer<StoreResult<StoreRevision>> response) {
            if (isReachable) {
                write(writes.get(0).value());
            }
            response.accept(reachable(StoreRevision.withoutEra(7)));
        }

        @Override
        public void grantLease(Duration duration, Consumer<StoreResult<StoreLease>> response) {
            response.accept(reachable(new StoreLease(0, 1)));
        }

        @Override
        public void renewLease(StoreLease lease, Consumer<StoreResult<Duration>> response) {
            response.accept(reachable(Duration.ofSeconds(3)));
        }

        private <T> StoreResult<T> reachable(T value) {
            return isReachable ? new StoreResult.Success<>(value) : new StoreResult.Unavailable<>("no response");
        }

        @Override
        public void endLease(StoreLease lease) {
            if (isReachable) {
                record = Optional.empty();
            }
        }
    }
}
