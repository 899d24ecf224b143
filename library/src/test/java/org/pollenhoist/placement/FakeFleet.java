package org.pollenhoist.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.configuration.Configuration;
import org.pollenhoist.configuration.Model;
import org.pollenhoist.configuration.Upstream;
import org.pollenhoist.configuration.WeightStoreLimits;
import org.pollenhoist.platform.PlatformService;
import org.pollenhoist.upstream.EngineControl;
import org.pollenhoist.upstream.EngineItem;
import org.pollenhoist.upstream.EngineOrder;
import org.pollenhoist.upstream.EngineReport;
import org.pollenhoist.upstream.OrderAnswer;

/** Two domains with two placement processes each, run on simulated time with seeded faults. */
final class FakeFleet {

    static final WeightStoreLimits LIMITS = new WeightStoreLimits(2, 5, 40);
    private static final long TICK_MILLIS = 250;
    private static final long MODEL_LOAD_MILLIS = 4_000;
    private static final long UNLOAD_MILLIS = 300;
    private static final double STORE_AT_A_TENTH = 10;

    /** What a run differs in. */
    record Options(
            boolean areEnginesCheckingFencing,
            boolean doEnginesRememberOrders,
            boolean areOrdersBoundToIncarnation,
            long largestOrderDelayMillis,
            java.time.Duration lateCopyWindow,
            WeightStoreLimits configuredLimits,
            PlacementPolicy policy) {}

    private record Delivery(long at, FakeEngine engine, String incarnation, EngineOrder order) {}

    private static final class Running {
        private final FakeEngine engine;
        private final String incarnation;
        private final EngineOrder order;
        private double millisLeft;

        Running(FakeEngine engine, EngineOrder order, double millisLeft) {
            this.engine = engine;
            this.incarnation = engine.incarnation();
            this.order = order;
            this.millisLeft = millisLeft;
        }
    }

    private final class DomainProcess {
        private final FailureDomain domain;
        private final int number;
        private int starts;
        private PlacementCoordinator coordinator;
        private boolean isPaused;

        DomainProcess(FailureDomain domain, int number) {
            this.domain = domain;
            this.number = number;
            restart();
        }

        void restart() {
            starts++;
            CoordinatorSettings standard = CoordinatorSettings.standard();
            CoordinatorSettings settings = new CoordinatorSettings(
                    standard.leaseDuration(),
                    standard.staleAfter(),
                    options.lateCopyWindow(),
                    standard.resendAfter(),
                    standard.forgetSendsAfter(),
                    standard.planInterval());
            String name = domain + "-" + number + "-" + starts;
            coordinator = new PlacementCoordinator(
                    domain, name, pausing(platform), new Orders(this), options.policy(), settings);
        }

        PlatformService pausing(FakePlatform target) {
            return (PlatformService) java.lang.reflect.Proxy.newProxyInstance(
                    PlatformService.class.getClassLoader(),
                    new Class<?>[] {PlatformService.class},
                    (proxy, method, arguments) -> {
                        maybePause(this);
                        try {
                            return method.invoke(target, arguments);
                        } catch (java.lang.reflect.InvocationTargetException exception) {
                            throw exception.getCause();
                        }
                    });
        }
    }

    private final class Orders implements EngineControl {
        private final DomainProcess process;

        Orders(DomainProcess process) {
            this.process = process;
        }

        @Override
        public Optional<EngineReport> report(Upstream upstream) {
            if (isFaulty && random.nextDouble() < 0.05) {
                return Optional.empty();
            }
            return engines.get(upstream.name()).report(isFaulty ? random.nextInt(8) : 0);
        }

        @Override
        public OrderAnswer send(Upstream upstream, String incarnation, EngineOrder order, MonotonicTime notAfter) {
            maybePause(process);
            if (notAfter.isBefore(MonotonicTime.of(java.time.Duration.ofMillis(now)))) {
                return new OrderAnswer.TooLate();
            }
            checker.sent(order, now);
            FakeEngine engine = engines.get(upstream.name());
            double fate = isFaulty ? random.nextDouble() : 1;
            if (fate < 0.15) {
                return new OrderAnswer.Unanswered("lost");
            }
            if (fate < 0.45) {
                int copies = fate < 0.3 ? 2 : 1;
                for (int copy = 0; copy < copies; copy++) {
                    long delay = (long) (random.nextDouble() * options.largestOrderDelayMillis());
                    deliveries.add(new Delivery(now + delay, engine, incarnation, order));
                }
                return new OrderAnswer.Unanswered("late");
            }
            deliver(new Delivery(now, engine, incarnation, order));
            return engine.answer(order);
        }
    }

    private final Options options;
    private final Random random;
    private final FakePlatform platform;
    final Map<UpstreamName, FakeEngine> engines = new TreeMap<>();
    final HistoryChecker checker;
    private final List<DomainProcess> processes = new ArrayList<>();
    private final List<Delivery> deliveries = new ArrayList<>();
    private final List<Running> running = new ArrayList<>();
    private final Map<FakeEngine, Long> startsAgainAt = new HashMap<>();
    private final Map<ModelName, Double> demand = new HashMap<>();
    private List<Model> models = new ArrayList<>();
    private long revision = 1;
    private long now = 1_000;
    private long outageEnds;
    private long slowStoreEnds;
    private boolean isFaulty = true;
    private boolean isNested;

    FakeFleet(long seed, Options options, FakePlatform platform) {
        this.options = options;
        this.random = new Random(seed);
        this.platform = platform;
        for (String domain : List.of("piraeus", "lavrio")) {
            for (int number = 1; number <= 3; number++) {
                Upstream engine =
                        Samples.engine(domain + "-e" + number, domain, 100, options.areEnginesCheckingFencing());
                engines.put(engine.name(), new FakeEngine(engine, options.doEnginesRememberOrders()));
            }
            processes.add(new DomainProcess(FailureDomain.of(domain), 1));
            processes.add(new DomainProcess(FailureDomain.of(domain), 2));
        }
        this.checker = new HistoryChecker(engines.values(), LIMITS);
        for (int number = 1; number <= 7; number++) {
            models.add(Samples.model(
                    "m" + number, "1", 24 + number, number % 3 == 0 ? new String[] {"a"} : new String[0]));
        }
    }

    Configuration configuration() {
        List<Upstream> upstreams =
                engines.values().stream().map(engine -> engine.upstream).toList();
        return Samples.configuration(models, upstreams, options.configuredLimits());
    }

    List<Model> models() {
        return models;
    }

    void run(long millis, boolean withFaults) {
        isFaulty = withFaults;
        if (!withFaults) {
            platform.isDown = false;
        }
        long end = now + millis;
        while (now < end) {
            tick();
        }
    }

    private void tick() {
        now += TICK_MILLIS;
        platform.advanceTo(now);
        platform.lostAnswers = isFaulty ? 0.02 : 0;
        if (isFaulty) {
            injectFaults();
        }
        startsAgainAt.entrySet().removeIf(entry -> {
            boolean isDue = entry.getValue() <= now;
            if (isDue) {
                entry.getKey().start();
            }
            return isDue;
        });
        List<Delivery> due =
                deliveries.stream().filter(delivery -> delivery.at() <= now).toList();
        deliveries.removeAll(due);
        due.forEach(this::deliver);
        progress();
        engines.values().forEach(FakeEngine::takeSnapshot);
        for (DomainProcess process : List.copyOf(processes)) {
            if (!process.isPaused && random.nextInt(4) == 0) {
                MonotonicTime time = MonotonicTime.of(java.time.Duration.ofMillis(now));
                process.coordinator.round(new RoundInput(configuration(), revision, demand), time);
            }
        }
    }

    private void injectFaults() {
        if (random.nextInt(600) == 0) {
            FakeEngine engine = List.copyOf(engines.values()).get(random.nextInt(engines.size()));
            List<String> names =
                    models.stream().map(model -> model.name().value()).toList();
            checker.crashing(engine, names, now);
            engine.crash();
            startsAgainAt.put(engine, now + 500 + random.nextInt(8_000));
        }
        if (random.nextInt(1200) == 0) {
            outageEnds = now + random.nextInt(30_000);
        }
        platform.isDown = now < outageEnds;
        if (random.nextInt(1200) == 0) {
            slowStoreEnds = now + random.nextInt(90_000);
        }
        if (random.nextInt(800) == 0) {
            processes.get(random.nextInt(processes.size())).restart();
        }
        if (random.nextInt(150) == 0) {
            ModelName model = models.get(random.nextInt(models.size())).name();
            demand.put(model, random.nextDouble() * 90);
        }
        if (random.nextInt(1500) == 0) {
            int index = random.nextInt(models.size());
            Model old = models.get(index);
            List<Model> changed = new ArrayList<>(models);
            changed.set(
                    index,
                    new Model(old.name(), old.version() + "1", old.pool(), old.memoryBytes(), old.adapters(), 1));
            models = changed;
            revision++;
        }
    }

    private void deliver(Delivery delivery) {
        boolean isOther = !delivery.engine().incarnation().equals(delivery.incarnation());
        if (options.areOrdersBoundToIncarnation() && isOther) {
            return;
        }
        delivery.engine().accept(delivery.order()).ifPresent(order -> {
            boolean isModel = order.item().kind() == EngineItem.Kind.MODEL;
            double load = isModel ? MODEL_LOAD_MILLIS : TICK_MILLIS;
            running.add(new Running(delivery.engine(), order, order.isLoad() ? load : UNLOAD_MILLIS));
            checker.begun(delivery.engine(), order, loads(EngineItem.Kind.MODEL), loads(EngineItem.Kind.ADAPTER), now);
        });
    }

    private int loads(EngineItem.Kind kind) {
        return (int) running.stream()
                .filter(one -> one.order.isLoad() && one.order.item().kind() == kind)
                .count();
    }

    private void progress() {
        running.removeIf(one -> !one.engine.incarnation().equals(one.incarnation));
        double slowness = now < slowStoreEnds ? STORE_AT_A_TENTH : 1;
        for (Running one : List.copyOf(running)) {
            one.millisLeft -= one.order.isLoad() ? TICK_MILLIS / slowness : TICK_MILLIS;
            if (one.millisLeft <= 0) {
                running.remove(one);
                one.engine.finish(one.order);
            }
        }
    }

    /** Stops a process in the middle of its round, while the others go on, for longer than its lease lasts or not. */
    private void maybePause(DomainProcess process) {
        if (!isFaulty || isNested || random.nextInt(100) != 0) {
            return;
        }
        isNested = true;
        process.isPaused = true;
        long end = now + 2_000 + random.nextInt(40_000);
        while (now < end) {
            tick();
        }
        process.isPaused = false;
        isNested = false;
    }
}
