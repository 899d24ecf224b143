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
 * Decides which engine loads an adapter that requests wait for, and which one makes way.
 *
 * <p>Answers loads in which more adapters are asked for than there are places: each adapter has engines that it prefers
 * by hash, so that the places are shared evenly and an adapter comes back to where it was, which is faster.
 */
public final class AdapterPlan {

    private final Engine engine;
    private final ToLongBiFunction<String, String> lastUse;

    /**
     * Creates a plan.
     *
     * @param engine what the engines have in common
     * @param lastUse when an adapter, named as {@code model/adapter}, was last used at an engine; greater is later
     */
    public AdapterPlan(Engine engine, ToLongBiFunction<String, String> lastUse) {
        this.engine = engine;
        this.lastUse = lastUse;
    }

    /**
     * Plans the orders for the adapters that requests wait for. An engine gets one order at a time.
     *
     * @param wants what is waited for
     * @param engines the engines
     * @return the orders, at most one for an engine
     */
    public List<PlannedOrder> plan(Collection<ModelRequest> wants, Collection<EngineView> engines) {
        List<PlannedOrder> orders = new ArrayList<>();
        Set<String> ordered = new HashSet<>();
        for (ModelRequest want : new HashSet<>(wants)) {
            if (want.adapter().isEmpty() || isHeld(want, engines)) {
                continue;
            }
            List<EngineView> possible = engines.stream()
                    .filter(view -> view.isOrderPossible()
                            && view.models().contains(want.model())
                            && !ordered.contains(view.identifier()))
                    .sorted(Comparator.comparingLong(view -> -weight(want, view)))
                    .toList();
            choose(want, possible, wants).ifPresent(order -> {
                orders.add(order);
                ordered.add(order.engine());
            });
        }
        return orders;
    }

    private static boolean isHeld(ModelRequest want, Collection<EngineView> engines) {
        return engines.stream()
                .anyMatch(view ->
                        view.holdings().getOrDefault(want.model(), Set.of()).contains(want.adapter()));
    }

    private static long weight(ModelRequest want, EngineView view) {
        return Rendezvous.weight(Rendezvous.hash(want.model() + "/" + want.adapter()), view.identifier()) >>> 1;
    }

    private Optional<PlannedOrder> choose(
            ModelRequest want, List<EngineView> possible, Collection<ModelRequest> wants) {
        for (EngineView view : possible) {
            if (hasPlace(view, want)) {
                return Optional.of(new PlannedOrder(
                        view.identifier(),
                        new EngineOrder.LoadAdapter(want.model(), want.adapter()),
                        "adapter_wanted"));
            }
        }
        for (EngineView view : possible) {
            Optional<PlannedOrder> eviction = evict(view, wants);
            if (eviction.isPresent()) {
                return eviction;
            }
        }
        return Optional.empty();
    }

    private boolean hasPlace(EngineView view, ModelRequest want) {
        Model model = engine.models().get(want.model());
        return model != null
                && view.adapterCount() < engine.maximumAdapters()
                && usedMegabytes(engine, view) + model.adapterMegabytes() <= engine.weightMegabytes();
    }

    private Optional<PlannedOrder> evict(EngineView view, Collection<ModelRequest> wants) {
        return view.holdings().entrySet().stream()
                .flatMap(held -> held.getValue().stream().map(adapter -> Map.entry(held.getKey(), adapter)))
                .filter(held -> wants.stream()
                        .noneMatch(want -> want.model().equals(held.getKey())
                                && want.adapter().equals(held.getValue())))
                .min(Comparator.comparingLong(
                        held -> lastUse.applyAsLong(view.identifier(), held.getKey() + "/" + held.getValue())))
                .map(held -> new PlannedOrder(
                        view.identifier(),
                        new EngineOrder.UnloadAdapter(held.getKey(), held.getValue()),
                        "least_recently_used"));
    }

    /**
     * Adds up what an engine holds.
     *
     * @param engine what the engines have in common
     * @param view the engine
     * @return megabytes of weights and adapters
     */
    static double usedMegabytes(Engine engine, EngineView view) {
        double used = 0;
        for (Map.Entry<String, Set<String>> held : view.holdings().entrySet()) {
            Model model = engine.models().get(held.getKey());
            if (model != null) {
                used += model.weightMegabytes() + held.getValue().size() * model.adapterMegabytes();
            }
        }
        return used;
    }
}
