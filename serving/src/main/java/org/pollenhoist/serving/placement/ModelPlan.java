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
 * Decides which models engines load and drop: one move after another, always the one that gains most in
 * {@link CopyValue}, as long as the gain is worth a load.
 *
 * <p>Answers loads in which a few models get most requests and these models change within seconds, faster than weights
 * are loaded: idle places are filled early with copies of models that may become busy, models that rise take places
 * from models with more copies than their load needs, and a last copy goes only where nobody asks for it and requests
 * wait for another model.
 */
public final class ModelPlan {

    /** What a move has to gain at the least, in engines' work: a load is paid for, and keeps the engine occupied. */
    private static final double LEAST_GAIN = 0.003;

    /** A copy with work is dropped only for one that is worth more by this factor: for a while both are missing. */
    private static final double DROP_FACTOR = 2;

    /** For how long a copy is taken to be of use: what is lost while it loads counts against it. */
    private static final double SECONDS_OF_USE = 10;

    /** What it costs to drop a model first: requests that run there hold the drop up. */
    private static final double DROP_COST = 0.002;

    /** What it costs that a copy comes to an engine with work, for each engine of the one's and the other's work. */
    private static final double CROWDING = 0.1;

    /** What each copy in the same failure domain costs a further one there. */
    private static final double SAME_DOMAIN = 0.003;

    /** Part of the engines that may be loading when a copy is loaded that is not needed yet. */
    private static final double SPECULATIVE_PART = 0.25;

    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private record Move(EngineView view, String model, Optional<String> victim, double gain) {}

    private final Engine engine;
    private final CopyValue value;
    private final Map<String, Integer> copies = new HashMap<>();
    private final Map<String, EngineView> engines = new HashMap<>();
    private final Map<String, Integer> readyCopies = new HashMap<>();
    private final Set<String> ordered = new HashSet<>();
    private final List<PlannedOrder> orders = new ArrayList<>();
    private int storeLoads;
    private int occupied;

    /**
     * Creates a plan.
     *
     * @param engine what the engines have in common
     * @param workByModel what is asked of each model, in engines that it would keep busy
     * @param pace how long an engine is busy with a token of a model, in any unit
     * @param views the engines
     * @param roomFor the models for which room was made, by engine; nothing else may take that room
     */
    public ModelPlan(
            Engine engine,
            Map<String, Double> workByModel,
            ToDoubleFunction<String> pace,
            Collection<EngineView> views,
            Map<String, String> roomFor) {
        this.engine = engine;
        this.value = new CopyValue(engine, workByModel, pace, views.size());
        ordered.addAll(roomFor.keySet());
        for (EngineView view : views) {
            engines.put(view.identifier(), view);
            view.models().forEach(model -> copies.merge(model, 1, Integer::sum));
            occupied += view.isOccupied() ? 1 : 0;
            view.readyModels().forEach(model -> readyCopies.merge(model, 1, Integer::sum));
            String expected = roomFor.get(view.identifier());
            if (expected != null && !view.models().contains(expected)) {
                copies.merge(expected, 1, Integer::sum);
            }
        }
    }

    /**
     * Plans orders. An engine gets at most one; a place that has to be made is used by a later plan.
     *
     * @param wanted models that requests wait for
     * @param maximumStoreLoads how many loads from the weight store may begin now
     * @return the orders, the most urgent first
     */
    public List<PlannedOrder> plan(Set<String> wanted, int maximumStoreLoads) {
        for (Optional<Move> move = best(wanted, maximumStoreLoads);
                move.isPresent();
                move = best(wanted, maximumStoreLoads)) {
            carryOut(move.get());
        }
        return List.copyOf(orders);
    }

    private boolean isLoadAllowed(EngineView view, String model, int maximumStoreLoads) {
        return view.hasLocalCopy(model) || storeLoads < maximumStoreLoads;
    }

    /**
     * Tells whether an engine's memory has room for a model.
     *
     * @param engine what the engines have in common
     * @param view the engine
     * @param model the model
     * @return true where it fits beside all that the engine may hold
     */
    static boolean hasRoom(Engine engine, EngineView view, String model) {
        Model definition = engine.models().get(model);
        return definition != null
                && AdapterPlan.usedMegabytes(engine, view) + definition.weightMegabytes() <= engine.weightMegabytes();
    }

    private Optional<Move> best(Set<String> wanted, int maximumStoreLoads) {
        return engine.models().keySet().stream()
                .flatMap(model -> moves(model, wanted, maximumStoreLoads))
                .filter(move -> move.gain() >= LEAST_GAIN)
                .max(Comparator.comparingDouble(Move::gain)
                        .thenComparing(Move::model)
                        .thenComparing(move -> move.view().identifier()));
    }

    private Stream<Move> moves(String model, Set<String> wanted, int maximumStoreLoads) {
        boolean isAwaited = wanted.contains(model);
        double gain = value.ofNext(model, count(model), isAwaited);
        if (gain < LEAST_GAIN || !(isAwaited || isUrgent(model) || isSpeculationAllowed())) {
            return Stream.empty();
        }
        return engines.values().stream()
                .filter(view -> view.isOrderPossible()
                        && !ordered.contains(view.identifier())
                        && !view.holdings().containsKey(model)
                        && isLoadAllowed(view, model, maximumStoreLoads))
                .flatMap(view -> movesTo(view, model, isAwaited, gain * usefulPart(view, model) - cost(view, model)));
    }

    private boolean isUrgent(String model) {
        return count(model) == 0 || value.isOverloaded(model, count(model));
    }

    /** An engine carries out one order at a time: some have to be free for models that become busy. */
    private boolean isSpeculationAllowed() {
        return occupied < engines.size() * SPECULATIVE_PART;
    }

    private Stream<Move> movesTo(EngineView view, String model, boolean isAwaited, double gain) {
        if (hasRoom(engine, view, model)) {
            return Stream.of(new Move(view, model, Optional.empty(), gain));
        }
        return view.readyModels().stream()
                .filter(victim -> mayDrop(victim, isAwaited))
                .map(victim -> new Move(view, model, Optional.of(victim), gain - dropped(victim)));
    }

    private double dropped(String victim) {
        double factor = value.work(victim) > 0 ? DROP_FACTOR : 1;
        return factor * value.ofLast(victim, readyCopies.get(victim)) + DROP_COST;
    }

    /** The last usable copy goes only where nobody asks for it, and requests wait for the model that comes instead. */
    private boolean mayDrop(String victim, boolean isForAwaitedModel) {
        boolean isOtherReady = readyCopies.getOrDefault(victim, 0) > 1;
        return isOtherReady || (isForAwaitedModel && value.work(victim) == 0);
    }

    private double usefulPart(EngineView view, String model) {
        Duration load = engine.models().get(model).loadTime(view.hasLocalCopy(model));
        return SECONDS_OF_USE / (SECONDS_OF_USE + load.toMillis() / MILLISECONDS_PER_SECOND);
    }

    private double cost(EngineView view, String model) {
        double crowd = view.models().stream()
                .filter(held -> !held.equals(model))
                .mapToDouble(held -> value.work(held) / Math.max(1, count(held)))
                .sum();
        double ownWork = value.work(model) / (count(model) + 1);
        return crowd * ownWork * CROWDING + copiesInDomain(model, view.failureDomain()) * SAME_DOMAIN;
    }

    private long copiesInDomain(String model, String failureDomain) {
        return engines.values().stream()
                .filter(view -> view.failureDomain().equals(failureDomain)
                        && view.models().contains(model))
                .count();
    }

    private int count(String model) {
        return copies.getOrDefault(model, 0);
    }

    private void carryOut(Move move) {
        String reason = count(move.model()) == 0 ? "no_copy" : "further_copy";
        String identifier = move.view().identifier();
        ordered.add(identifier);
        occupied++;
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
