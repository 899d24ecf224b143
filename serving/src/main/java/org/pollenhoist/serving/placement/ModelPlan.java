package org.pollenhoist.serving.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import org.pollenhoist.serving.catalog.Engine;
import org.pollenhoist.serving.catalog.Model;

/**
 * Decides which models engines load and unload. A greedy algorithm: it repeatedly selects the move with the greatest
 * gain in {@link CopyValue}, as long as the gain justifies a load.
 *
 * <p>Designed for workloads in which a few models receive most requests and these models change within seconds, faster
 * than weights can be loaded. Free memory is therefore filled early with copies of models that may become busy. Models
 * with rising demand replace copies of models that have more copies than their demand needs. The last copy of a model
 * is unloaded only if there is no demand for it and requests are queued for the model that replaces it.
 */
public final class ModelPlan {

    /** Minimum gain of a move, in engines: a load uses the weight store and keeps the engine occupied. */
    private static final double MINIMUM_GAIN = 0.003;

    /** Factor on the value of a copy in use that is replaced: during the exchange, neither copy is available. */
    private static final double UNLOAD_FACTOR = 2;

    /** Assumed time for which a copy stays useful. Work that is lost during the load reduces the gain. */
    private static final double USEFUL_SECONDS = 10;

    /** Cost of unloading a model first, in engines: the unload waits for the requests that run there. */
    private static final double UNLOAD_COST = 0.002;

    /** Cost of loading a copy on an engine with other work, per unit of the product of the work of both. */
    private static final double CO_LOCATION_COST = 0.1;

    /** Cost of a further copy in a failure domain for each copy that is there already, in engines. */
    private static final double SAME_DOMAIN_COST = 0.003;

    /** Speculative loads start only while fewer than this fraction of the engines load or unload a model. */
    private static final double MAXIMUM_SPECULATIVE_FRACTION = 0.25;

    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private static final Comparator<Move> ORDER = Comparator.comparingDouble(Move::gain)
            .thenComparing(Move::model)
            .thenComparing(move -> move.view().identifier());

    private record Move(EngineView view, String model, Optional<String> victim, double gain) {}

    /** A model that may get a further copy, with what that copy is worth wherever it is loaded at no cost. */
    private record Candidate(String model, boolean isRequested, double gain) {}

    private record Place(String model, String failureDomain) {}

    private final Engine engine;
    private final CopyValue value;
    private final Map<String, Integer> copies = new HashMap<>();
    private final Map<String, EngineView> engines = new HashMap<>();
    private final Map<String, Integer> readyCopies = new HashMap<>();
    private final Map<Place, Integer> copiesByPlace = new HashMap<>();
    private final Set<String> enginesWithOrder = new HashSet<>();
    private final List<PlannedOrder> orders = new ArrayList<>();
    private int storeLoads;
    private int occupiedEngines;

    /**
     * Creates a planner for the present state of the engines.
     *
     * @param engine the properties common to all engines
     * @param workByModel the demand for each model, as the number of engines that it would keep busy
     * @param workPerToken the time for which a token of a model keeps an engine busy, in any unit
     * @param views the state of the engines
     * @param reservedModels models for which memory is reserved, by engine; such an engine gets no order from this plan
     */
    public ModelPlan(
            Engine engine,
            Map<String, Double> workByModel,
            ToDoubleFunction<String> workPerToken,
            Collection<EngineView> views,
            Map<String, String> reservedModels) {
        this.engine = engine;
        this.value = new CopyValue(engine, workByModel, workPerToken, views.size());
        enginesWithOrder.addAll(reservedModels.keySet());
        for (EngineView view : views) {
            engines.put(view.identifier(), view);
            view.readyOrLoadingModels()
                    .forEach(model -> copiesByPlace.merge(new Place(model, view.failureDomain()), 1, Integer::sum));
            view.readyOrLoadingModels().stream()
                    .filter(model -> countsAsCopy(view, model))
                    .forEach(model -> copies.merge(model, 1, Integer::sum));
            occupiedEngines += view.isOccupied() ? 1 : 0;
            view.readyModels().stream()
                    .filter(model -> countsAsCopy(view, model))
                    .forEach(model -> readyCopies.merge(model, 1, Integer::sum));
            String reservedModel = reservedModels.get(view.identifier());
            if (reservedModel != null && !view.readyOrLoadingModels().contains(reservedModel)) {
                copies.merge(reservedModel, 1, Integer::sum);
            }
        }
    }

    /** The copy of an engine that limits its requests does not count if the model has demand. */
    private boolean countsAsCopy(EngineView view, String model) {
        return !view.isRateLimited() || value.work(model) == 0;
    }

    /**
     * Plans orders, at most one for each engine. A model that needs memory to be freed first is loaded by a later plan.
     *
     * @param requestedModels models for which requests are queued
     * @param maximumStoreLoads the number of loads from the weight store that may start now
     * @return the orders, in the order in which they were selected
     */
    public List<PlannedOrder> plan(Set<String> requestedModels, int maximumStoreLoads) {
        for (Optional<Move> move = bestMove(requestedModels, maximumStoreLoads);
                move.isPresent();
                move = bestMove(requestedModels, maximumStoreLoads)) {
            apply(move.get());
        }
        return List.copyOf(orders);
    }

    private boolean isLoadAllowed(EngineView view, String model, int maximumStoreLoads) {
        return view.hasLocalCopy(model) || storeLoads < maximumStoreLoads;
    }

    /**
     * Tells whether a model fits into an engine's memory.
     *
     * @param engine the properties common to all engines
     * @param view the engine
     * @param model the model
     * @return true if it fits in addition to everything that may occupy memory there
     */
    static boolean hasCapacityFor(Engine engine, EngineView view, String model) {
        Model definition = engine.models().get(model);
        return definition != null
                && AdapterPlan.usedMegabytes(engine, view) + definition.weightMegabytes() <= engine.weightMegabytes();
    }

    /**
     * Finds the move with the greatest gain. Costs only lower a gain, so the models are searched by the value of a
     * further copy until it is less than the gain of a move that was found.
     */
    private Optional<Move> bestMove(Set<String> requestedModels, int maximumStoreLoads) {
        List<Candidate> candidates = engine.models().keySet().stream()
                .flatMap(model -> candidate(model, requestedModels.contains(model)).stream())
                .sorted(Comparator.comparingDouble(Candidate::gain).reversed())
                .toList();
        Optional<Move> best = Optional.empty();
        for (Candidate candidate : candidates) {
            if (best.isPresent() && candidate.gain() < best.get().gain()) {
                break;
            }
            best = Stream.concat(best.stream(), moves(candidate, maximumStoreLoads))
                    .filter(move -> move.gain() >= MINIMUM_GAIN)
                    .max(ORDER);
        }
        return best;
    }

    private Optional<Candidate> candidate(String model, boolean isRequested) {
        double gain = value.ofNextCopy(model, copyCount(model), isRequested);
        boolean isUseful = gain >= MINIMUM_GAIN && (isRequested || isUrgent(model) || isSpeculationAllowed());
        return isUseful ? Optional.of(new Candidate(model, isRequested, gain)) : Optional.empty();
    }

    private Stream<Move> moves(Candidate candidate, int maximumStoreLoads) {
        String model = candidate.model();
        return engines.values().stream()
                .filter(view -> view.isOrderPossible()
                        && !view.isRateLimited()
                        && !enginesWithOrder.contains(view.identifier())
                        && !view.possibleResidents().containsKey(model)
                        && isLoadAllowed(view, model, maximumStoreLoads))
                .flatMap(view -> movesToEngine(
                        view,
                        model,
                        candidate.isRequested(),
                        candidate.gain() * usefulFraction(view, model) - cost(view, model)));
    }

    private boolean isUrgent(String model) {
        return copyCount(model) == 0 || value.isOverloaded(model, copyCount(model));
    }

    /** An engine executes one order at a time, so some engines are kept free for models that become busy. */
    private boolean isSpeculationAllowed() {
        return occupiedEngines < engines.size() * MAXIMUM_SPECULATIVE_FRACTION;
    }

    private Stream<Move> movesToEngine(EngineView view, String model, boolean isRequested, double gain) {
        if (hasCapacityFor(engine, view, model)) {
            return Stream.of(new Move(view, model, Optional.empty(), gain));
        }
        return view.readyModels().stream()
                .filter(victim -> mayUnload(victim, isRequested))
                .map(victim -> new Move(view, model, Optional.of(victim), gain - unloadCost(victim)));
    }

    private double unloadCost(String victim) {
        double factor = value.work(victim) > 0 ? UNLOAD_FACTOR : 1;
        return factor * value.ofLastCopy(victim, readyCopies.getOrDefault(victim, 1)) + UNLOAD_COST;
    }

    /** The last ready copy is unloaded only if it has no demand and requests are queued for the model replacing it. */
    private boolean mayUnload(String victim, boolean isForRequestedModel) {
        boolean isOtherCopyReady = readyCopies.getOrDefault(victim, 0) > 1;
        return isOtherCopyReady || (isForRequestedModel && value.work(victim) == 0);
    }

    private double usefulFraction(EngineView view, String model) {
        Duration loadTime = engine.models().get(model).loadTime(view.hasLocalCopy(model));
        return USEFUL_SECONDS / (USEFUL_SECONDS + loadTime.toMillis() / MILLISECONDS_PER_SECOND);
    }

    private double cost(EngineView view, String model) {
        double coLocatedWork = view.readyOrLoadingModels().stream()
                .filter(other -> !other.equals(model))
                .mapToDouble(other -> value.work(other) / Math.max(1, copyCount(other)))
                .sum();
        double ownWork = value.work(model) / (copyCount(model) + 1);
        return coLocatedWork * ownWork * CO_LOCATION_COST
                + copiesInDomain(model, view.failureDomain()) * SAME_DOMAIN_COST;
    }

    private int copiesInDomain(String model, String failureDomain) {
        return copiesByPlace.getOrDefault(new Place(model, failureDomain), 0);
    }

    private int copyCount(String model) {
        return copies.getOrDefault(model, 0);
    }

    private void apply(Move move) {
        String reason = copyCount(move.model()) == 0 ? "no_copy" : "further_copy";
        String identifier = move.view().identifier();
        enginesWithOrder.add(identifier);
        occupiedEngines++;
        storeLoads += move.view().hasLocalCopy(move.model()) ? 0 : 1;
        copies.merge(move.model(), 1, Integer::sum);
        if (move.victim().isEmpty()) {
            orders.add(new PlannedOrder(identifier, new EngineOrder.LoadModel(move.model()), reason));
        } else {
            copies.merge(move.victim().get(), -1, Integer::sum);
            readyCopies.merge(move.victim().get(), -1, Integer::sum);
            orders.add(new PlannedOrder(
                    identifier,
                    new EngineOrder.UnloadModel(move.victim().get()),
                    reason + "_" + move.model(),
                    move.model()));
        }
    }
}
