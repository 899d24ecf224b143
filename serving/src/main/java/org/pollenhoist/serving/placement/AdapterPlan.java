package org.pollenhoist.serving.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongBiFunction;
import org.pollenhoist.routing.Rendezvous;
import org.pollenhoist.serving.catalog.Engine;
import org.pollenhoist.serving.catalog.Model;

/**
 * Decides which engine loads an adapter for which requests are queued, and which adapter is evicted for it.
 *
 * <p>Designed for workloads that use more adapters than there are slots. Rendezvous hashing gives each adapter an order
 * of preferred engines, so that the slots are shared evenly and an adapter returns to an engine that had it before,
 * where it loads faster.
 */
public final class AdapterPlan {

    private final Engine engine;
    private final ToLongBiFunction<String, String> lastUse;

    /**
     * Creates a planner.
     *
     * @param engine the properties common to all engines
     * @param lastUse the time at which an engine last used an adapter, named as {@code model/adapter}; greater is later
     */
    public AdapterPlan(Engine engine, ToLongBiFunction<String, String> lastUse) {
        this.engine = engine;
        this.lastUse = lastUse;
    }

    /**
     * Plans the orders for the adapters for which requests are queued. An engine gets one order at a time.
     *
     * @param requests the models and adapters for which requests are queued
     * @param engines the state of the engines
     * @return the orders, at most one for each engine
     */
    public List<PlannedOrder> plan(Collection<ModelRequest> requests, Collection<EngineView> engines) {
        List<PlannedOrder> orders = new ArrayList<>();
        Set<String> enginesWithOrder = new HashSet<>();
        for (ModelRequest request : new HashSet<>(requests)) {
            if (request.adapter().isEmpty() || isLoadedOrLoading(request, engines)) {
                continue;
            }
            List<EngineView> candidates = engines.stream()
                    .filter(view -> view.isOrderPossible()
                            && view.readyOrLoadingModels().contains(request.model())
                            && !enginesWithOrder.contains(view.identifier()))
                    .sorted(Comparator.comparingLong(view -> -preference(request, view)))
                    .toList();
            planLoad(request, candidates, requests).ifPresent(order -> {
                orders.add(order);
                enginesWithOrder.add(order.engine());
            });
        }
        return orders;
    }

    private static boolean isLoadedOrLoading(ModelRequest request, Collection<EngineView> engines) {
        return engines.stream()
                .anyMatch(view -> view.possibleResidents()
                        .getOrDefault(request.model(), Set.of())
                        .contains(request.adapter()));
    }

    private static long preference(ModelRequest request, EngineView view) {
        return Rendezvous.weight(Rendezvous.hash(request.model() + "/" + request.adapter()), view.identifier()) >>> 1;
    }

    private Optional<PlannedOrder> planLoad(
            ModelRequest request, List<EngineView> candidates, Collection<ModelRequest> requests) {
        for (EngineView view : candidates) {
            if (hasFreeSlot(view, request)) {
                return Optional.of(new PlannedOrder(
                        view.identifier(),
                        new EngineOrder.LoadAdapter(request.model(), request.adapter()),
                        "adapter_wanted"));
            }
        }
        for (EngineView view : candidates) {
            Optional<PlannedOrder> eviction = planEviction(view, requests);
            if (eviction.isPresent()) {
                return eviction;
            }
        }
        return Optional.empty();
    }

    private boolean hasFreeSlot(EngineView view, ModelRequest request) {
        Model model = engine.models().get(request.model());
        return model != null
                && view.adapterCount() < engine.maximumAdapters()
                && usedMegabytes(engine, view) + model.adapterMegabytes() <= engine.weightMegabytes();
    }

    private Optional<PlannedOrder> planEviction(EngineView view, Collection<ModelRequest> requests) {
        return view.possibleResidents().entrySet().stream()
                .flatMap(resident -> resident.getValue().stream().map(adapter -> Map.entry(resident.getKey(), adapter)))
                .filter(resident -> requests.stream()
                        .noneMatch(request -> request.model().equals(resident.getKey())
                                && request.adapter().equals(resident.getValue())))
                .min(Comparator.comparingLong(resident ->
                        lastUse.applyAsLong(view.identifier(), resident.getKey() + "/" + resident.getValue())))
                .map(resident -> new PlannedOrder(
                        view.identifier(),
                        new EngineOrder.UnloadAdapter(resident.getKey(), resident.getValue()),
                        "least_recently_used"));
    }

    /**
     * Returns the memory that may be in use on an engine.
     *
     * @param engine the properties common to all engines
     * @param view the engine
     * @return the megabytes of weights and adapters
     */
    static double usedMegabytes(Engine engine, EngineView view) {
        double used = 0;
        for (Map.Entry<String, Set<String>> resident : view.possibleResidents().entrySet()) {
            Model model = engine.models().get(resident.getKey());
            if (model != null) {
                used += model.weightMegabytes() + resident.getValue().size() * model.adapterMegabytes();
            }
        }
        return used;
    }
}
