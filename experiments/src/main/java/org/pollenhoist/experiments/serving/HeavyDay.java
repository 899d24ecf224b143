package org.pollenhoist.experiments.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pollenhoist.serving.catalog.CallerLimits;
import org.pollenhoist.serving.catalog.Catalog;
import org.pollenhoist.serving.catalog.Engine;
import org.pollenhoist.serving.catalog.Model;
import org.pollenhoist.serving.catalog.Service;

/**
 * A deployment, its load, and what goes wrong.
 *
 * @param name its name
 * @param domains failure domains
 * @param vms entry VMs, spread over the domains
 * @param engines engines, spread over the domains
 * @param engine what the engines have in common
 * @param storeLoadsPerSecond loads that the weight store allows
 * @param busyModels the models that busy classes ask for in turn, with the rest of the models after them
 * @param models all models by name
 * @param paces how long a model's steps take, against the slowest
 * @param busyShares parts of the busy classes' requests that go to the busy models of the moment, the busiest first
 * @param shiftsAt when demand begins to move on to other models, in milliseconds
 * @param shiftStep by how many models it moves each time
 * @param shiftMilliseconds how long it takes to move
 * @param classes the classes of requests
 * @param faults what goes wrong
 * @param leadMilliseconds time between the start of the VMs and that of traffic
 */
record HeavyDay(
        String name,
        int domains,
        int vms,
        int engines,
        EngineModel engine,
        double storeLoadsPerSecond,
        int busyModels,
        Map<String, Model> models,
        Map<String, Double> paces,
        List<Double> busyShares,
        List<Long> shiftsAt,
        int shiftStep,
        long shiftMilliseconds,
        List<RequestClass> classes,
        List<Fault> faults,
        long leadMilliseconds) {

    static final String SERVICE = "engines";

    /** Something that goes wrong. */
    sealed interface Fault {

        /** When, in milliseconds from the start of traffic. */
        long at();

        /** Engines crash, and come back empty. */
        record Crash(long at, int engines, long downMilliseconds) implements Fault {}

        /** Engines are taken away; others come four seconds later, without copies. */
        record Reclaim(long at, int engines) implements Fault {}

        /** A part of the orders gets no answer and is carried out 2 to 12 seconds later. */
        record LateOrders(long at, long milliseconds, double part) implements Fault {}

        /** No VM may order. */
        record NoOrders(long at, long milliseconds) implements Fault {}

        /** More requests of a class come. */
        record Burst(long at, long milliseconds, String requestClass, double factor) implements Fault {}
    }

    static String modelName(int index) {
        return "m%02d".formatted(index);
    }

    Catalog catalog() {
        Engine described = new Engine(
                engine.slots(),
                engine.memoryTokens(),
                engine.weightMegabytes(),
                engine.adapterPlaces(),
                storeLoadsPerSecond,
                models);
        return Catalog.of(
                1,
                List.of(),
                List.of(new Service(SERVICE, 400, Optional.of(described))),
                List.of(),
                CallerLimits.DEFAULTS);
    }

    /** Few large engines behind a slow weight store; two of five models are busy at a time, 24 are rare. */
    static HeavyDay slowStore(double load, List<Fault> faults) {
        EngineModel engine = new EngineModel(64, 130_000, 9, 0.04, 20, 2_048, 220_000, 8, 6);
        Map<String, Model> models = new HashMap<>();
        Map<String, Double> paces = new HashMap<>();
        int[] adapters = {60, 0, 20, 0, 20};
        for (int index = 0; index < 29; index++) {
            boolean isSmall = index == 0 || (index > 5 && index % 2 == 0);
            model(models, index, isSmall, index < 5 ? adapters[index] : 0, 8_000, 1_500, 800);
            paces.put(modelName(index), isSmall ? 0.3 : 1.0);
        }
        return new HeavyDay(
                "slow-store",
                3,
                8,
                13,
                engine,
                2,
                5,
                models,
                paces,
                List.of(0.75, 0.25),
                List.of(1_000L, 14_000L, 24_000L),
                1,
                5_500,
                List.of(
                        new RequestClass("report", 40 * load, 1_800, 600, 20, true, 0.1, 800, 5_000, 2, 0.5, 1),
                        new RequestClass("plan", 6 * load, 1_800, 600, 20, false, 0, 6_000, 15_000, 2, 0.5, 1),
                        new RequestClass("chat", 12 * load, 1_100, 350, 170, true, 0.5, 800, 15_000, 2.5, 0.75, 0)),
                faults,
                14_000);
    }

    /** The same engines behind a fast weight store; four of ten models are busy at a time, 24 are rare. */
    static HeavyDay fastStore(double load, List<Fault> faults) {
        EngineModel engine = new EngineModel(64, 130_000, 10, 0.03, 20, 2_048, 230_000, 5, 6);
        Map<String, Model> models = new HashMap<>();
        Map<String, Double> paces = new HashMap<>();
        int[] adapters = {50, 0, 12, 0, 12, 0, 10, 0, 10, 0};
        for (int index = 0; index < 34; index++) {
            boolean isSmall = index == 0 || index == 3 || index == 6 || index == 9 || (index > 10 && index % 2 == 0);
            model(models, index, isSmall, index < 10 ? adapters[index] : 0, 2_000, 1_500, 1_000);
            paces.put(modelName(index), isSmall ? 0.15 : 1.0);
        }
        return new HeavyDay(
                "fast-store",
                4,
                9,
                13,
                engine,
                2,
                10,
                models,
                paces,
                List.of(0.5, 0.2, 0.15, 0.15),
                List.of(1_000L, 14_000L, 24_000L),
                2,
                5_500,
                List.of(
                        new RequestClass("report", 40 * load, 1_800, 600, 20, true, 0.1, 800, 5_000, 2, 0.5, 1),
                        new RequestClass("plan", 6 * load, 1_800, 600, 20, false, 0, 2_500, 8_000, 2, 0.5, 1),
                        new RequestClass("chat", 12 * load, 1_100, 350, 170, true, 0.5, 600, 15_000, 2.5, 0.75, 0)),
                faults,
                14_000);
    }

    /**
     * Quick engines behind a store whose loads take little more than a second; prompts are long, for the most part
     * shared, and few kinds of request differ much in urgency. Three of six models are busy at a time, 24 are rare.
     */
    static HeavyDay longPrompts(double load, List<Fault> faults) {
        EngineModel engine = new EngineModel(64, 250_000, 4.5, 0.02, 40, 2_048, 220_000, 8, 6);
        Map<String, Model> models = new HashMap<>();
        Map<String, Double> paces = new HashMap<>();
        int[] adapters = {40, 0, 10, 0, 10, 0};
        for (int index = 0; index < 30; index++) {
            boolean isSmall = index % 3 == 0;
            model(models, index, isSmall, index < 6 ? adapters[index] : 0, 1_200, 500, 400);
            paces.put(modelName(index), isSmall ? 0.3 : 1.0);
        }
        return new HeavyDay(
                "long-prompts",
                3,
                9,
                13,
                engine,
                2,
                6,
                models,
                paces,
                List.of(0.5, 0.3, 0.2),
                List.of(1_000L, 14_000L, 24_000L),
                1,
                5_500,
                List.of(
                        new RequestClass("digest", 20 * load, 3_000, 6_000, 50, true, 0.1, 800, 5_000, 2.3, 0.23, 1),
                        new RequestClass("compare", 3 * load, 3_000, 6_000, 50, false, 0, 1_500, 6_000, 2.3, 0.23, 1),
                        new RequestClass("helper", 25 * load, 600, 200, 300, true, 0.5, 500, 15_000, 0.85, 0.09, 0)),
                faults,
                14_000);
    }

    /** The same day where every engine holds every model: what placement could gain at the most. */
    HeavyDay withAllModelsEverywhere() {
        EngineModel roomy = new EngineModel(
                engine.slots(),
                engine.memoryTokens(),
                engine.stepMilliseconds(),
                engine.stepMillisecondsPerRequest(),
                engine.promptTokensPerMillisecond(),
                engine.chunkTokens(),
                Double.MAX_VALUE,
                Integer.MAX_VALUE,
                engine.diskCopies());
        return with(roomy, faults);
    }

    /** The same day where no model is ever moved. */
    HeavyDay withFixedPlacement(Duration length) {
        List<Fault> withoutOrders = new ArrayList<>(faults);
        withoutOrders.add(new Fault.NoOrders(-leadMilliseconds, leadMilliseconds + length.toMillis()));
        return with(engine, withoutOrders);
    }

    boolean isMemoryUnlimited() {
        return engine.weightMegabytes() == Double.MAX_VALUE;
    }

    private HeavyDay with(EngineModel otherEngine, List<Fault> otherFaults) {
        return new HeavyDay(
                name,
                domains,
                vms,
                engines,
                otherEngine,
                storeLoadsPerSecond,
                busyModels,
                models,
                paces,
                busyShares,
                shiftsAt,
                shiftStep,
                shiftMilliseconds,
                classes,
                otherFaults,
                leadMilliseconds);
    }

    /** What went wrong on the days that the users played: engines are lost while demand moves, orders are lost. */
    static List<Fault> commonFaults() {
        List<Fault> faults = new ArrayList<>();
        faults.add(new Fault.Reclaim(4_100, 2));
        faults.add(new Fault.Crash(7_100, 3, 2_000));
        faults.add(new Fault.LateOrders(2_600, 6_000, 0.3));
        faults.add(new Fault.Burst(7_100, 3_000, "chat", 1.7));
        faults.add(new Fault.NoOrders(29_000, 5_000));
        return faults;
    }

    private static void model(
            Map<String, Model> models,
            int index,
            boolean isSmall,
            int adapters,
            long loadMilliseconds,
            long diskMilliseconds,
            long memoryMilliseconds) {
        String name = modelName(index);
        models.put(
                name,
                new Model(
                        name,
                        isSmall ? 65_000 : 73_000,
                        Duration.ofMillis(loadMilliseconds),
                        Duration.ofMillis(diskMilliseconds),
                        Duration.ofMillis(memoryMilliseconds),
                        adapters,
                        isSmall ? 12 : 65));
    }
}
