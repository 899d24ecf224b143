package org.pollenhoist.serving.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pollenhoist.serving.catalog.Engine;
import org.pollenhoist.serving.catalog.Model;

/**
 * Decides which models engines load and drop. Every model keeps a copy as far as there is room, and the models that are
 * asked for most get the places that are left.
 *
 * <p>Answers loads in which a few models get most requests and these models change within seconds: a model whose copies
 * are busy takes places from models with more copies than their load needs, never the last copy.
 */
public final class ModelPlan {

    /** Work of one copy, in engines, from which a further copy is worth a load. */
    private static final double BUSY_WORK = 0.12;

    /** Work of one copy, in engines, from which a further copy goes before a first copy of a model nobody asks for. */
    private static final double OVERLOADED_WORK = 0.35;

    /** A copy is taken from another model only where that model's copies stay less busy by this factor. */
    private static final double DONOR_FACTOR = 0.5;

    /** Of so many orders one goes to a model without a copy first. */
    private static final int ORDERS_PER_MISSING = 3;

    private final Engine engine;
    private final Map<String, Double> workByModel;
    private final Map<String, Integer> copies = new HashMap<>();
    private final Map<String, EngineView> engines = new HashMap<>();
    private final Map<String, String> roomFor;
    private final long earlierOrders;
    private final Set<String> ordered = new HashSet<>();
    private final List<PlannedOrder> orders = new ArrayList<>();

    /**
     * Creates a plan.
     *
     * @param engine what the engines have in common
     * @param workByModel what is asked of each model, in engines that it would keep busy
     * @param views the engines
     * @param roomFor the models for which room was made, by engine
     * @param earlierOrders how many orders earlier plans have led to
     */
    public ModelPlan(
            Engine engine,
            Map<String, Double> workByModel,
            Collection<EngineView> views,
            Map<String, String> roomFor,
            long earlierOrders) {
        this.engine = engine;
        this.earlierOrders = earlierOrders;
        this.roomFor = Map.copyOf(roomFor);
        this.workByModel = Map.copyOf(workByModel);
        for (EngineView view : views) {
            engines.put(view.identifier(), view);
            view.models().forEach(model -> copies.merge(model, 1, Integer::sum));
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
     * @param maximumOrders how many orders may be sent now
     * @return the orders, the most urgent first
     */
    public List<PlannedOrder> plan(Set<String> wanted, int maximumOrders) {
        useRoom(maximumOrders);
        List<String> missing = missingModels(wanted);
        Deque<String> asked = new ArrayDeque<>(
                missing.stream().filter(model -> isAsked(model, wanted)).toList());
        boolean isPlaced = true;
        while (isPlaced && orders.size() < maximumOrders) {
            isPlaced = placeNext(asked, wanted);
        }
        missing.stream().filter(model -> !isAsked(model, wanted)).forEach(model -> placeFirst(model, maximumOrders));
        growBusiest(BUSY_WORK, maximumOrders);
        return List.copyOf(orders);
    }

    /** Loads the models for which room was made; nothing else may take that room. */
    private void useRoom(int maximumOrders) {
        roomFor.forEach((identifier, model) -> {
            EngineView view = engines.get(identifier);
            boolean isPossible = view != null
                    && view.isOrderPossible()
                    && !view.holdings().containsKey(model)
                    && hasRoom(view, model);
            if (isPossible && orders.size() < maximumOrders) {
                orders.add(new PlannedOrder(identifier, new EngineOrder.LoadModel(model), "room_made"));
            }
            ordered.add(identifier);
        });
    }

    private boolean hasRoom(EngineView view, String model) {
        Model definition = engine.models().get(model);
        return definition != null
                && AdapterPlan.usedMegabytes(engine, view) + definition.weightMegabytes() <= engine.weightMegabytes();
    }

    private List<String> missingModels(Set<String> wanted) {
        return engine.models().keySet().stream()
                .filter(model -> copies.getOrDefault(model, 0) == 0)
                .sorted(Comparator.comparing((String model) -> !wanted.contains(model))
                        .thenComparing(model -> -work(model))
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    private boolean isAsked(String model, Set<String> wanted) {
        return wanted.contains(model) || work(model) > 0;
    }

    /** Models without a copy get every third order, so that neither they nor overloaded models wait for all others. */
    private boolean placeNext(Deque<String> asked, Set<String> wanted) {
        boolean isMissingFirst = (earlierOrders + orders.size()) % ORDERS_PER_MISSING == 0;
        if (isMissingFirst) {
            return placeMissing(asked, wanted) || growOnce(OVERLOADED_WORK);
        }
        return growOnce(OVERLOADED_WORK) || placeMissing(asked, wanted);
    }

    private boolean placeMissing(Deque<String> asked, Set<String> wanted) {
        boolean isPlaced = false;
        while (!isPlaced && !asked.isEmpty()) {
            String model = asked.removeFirst();
            isPlaced = place(model, wanted.contains(model), "no_copy");
        }
        return isPlaced;
    }

    private void placeFirst(String model, int maximumOrders) {
        if (orders.size() < maximumOrders) {
            place(model, false, "no_copy");
        }
    }

    private double work(String model) {
        return workByModel.getOrDefault(model, 0.0);
    }

    private double workOfCopy(String model, int count) {
        return count <= 0 ? Double.MAX_VALUE : work(model) / count;
    }

    /** Adds copies, one at a time, to the models whose copies have the most work. */
    private void growBusiest(double leastWork, int maximumOrders) {
        boolean isGrown = true;
        while (isGrown && orders.size() < maximumOrders) {
            isGrown = growOnce(leastWork);
        }
    }

    private boolean growOnce(double leastWork) {
        return busiest(leastWork).stream().anyMatch(model -> place(model, false, "busy"));
    }

    private List<String> busiest(double leastWork) {
        return engine.models().keySet().stream()
                .filter(model -> copies.getOrDefault(model, 0) > 0 && workOfCopy(model, copies.get(model)) > leastWork)
                .sorted(Comparator.comparingDouble(model -> -workOfCopy(model, copies.get(model))))
                .toList();
    }

    private boolean place(String model, boolean mayTakeLastCopy, String reason) {
        Optional<EngineView> roomy =
                possible(model).filter(view -> hasRoom(view, model)).min(preference(model));
        if (roomy.isPresent()) {
            add(new PlannedOrder(roomy.get().identifier(), new EngineOrder.LoadModel(model), reason), model);
            return true;
        }
        return makeRoom(model, mayTakeLastCopy, reason);
    }

    private java.util.stream.Stream<EngineView> possible(String model) {
        return engines.values().stream()
                .filter(view -> view.isOrderPossible()
                        && !ordered.contains(view.identifier())
                        && !view.holdings().containsKey(model));
    }

    private Comparator<EngineView> preference(String model) {
        return Comparator.comparing((EngineView view) -> !view.localCopies().contains(model))
                .thenComparing(view -> busyWork(view))
                .thenComparing(view -> copiesInDomain(model, view.failureDomain()))
                .thenComparing(EngineView::identifier);
    }

    /** Work that the models of an engine bring it. */
    private double busyWork(EngineView view) {
        return view.models().stream()
                .mapToDouble(model -> workOfCopy(model, Math.max(1, copies.getOrDefault(model, 1))))
                .sum();
    }

    private long copiesInDomain(String model, String failureDomain) {
        return engines.values().stream()
                .filter(view -> view.failureDomain().equals(failureDomain)
                        && view.models().contains(model))
                .count();
    }

    private boolean makeRoom(String model, boolean mayTakeLastCopy, String reason) {
        double limit = acceptableWork(model, mayTakeLastCopy);
        record Eviction(EngineView view, String victim) {}
        Optional<Eviction> best = possible(model)
                .flatMap(view -> view.models().stream().map(victim -> new Eviction(view, victim)))
                .filter(eviction -> mayTakeLastCopy || copies.getOrDefault(eviction.victim(), 0) > 1)
                .filter(eviction -> copies.getOrDefault(eviction.victim(), 0) <= 1
                        ? work(eviction.victim()) == 0
                        : workOfCopy(eviction.victim(), copies.get(eviction.victim()) - 1) < limit)
                .min(Comparator.comparing((Eviction eviction) -> copies.getOrDefault(eviction.victim(), 0) <= 1)
                        .thenComparing(
                                eviction -> !eviction.view().localCopies().contains(model))
                        .thenComparing(eviction -> workOfCopy(
                                eviction.victim(), Math.max(1, copies.getOrDefault(eviction.victim(), 1) - 1)))
                        .thenComparing(eviction -> eviction.view(), preference(model)));
        best.ifPresent(eviction -> {
            add(
                    new PlannedOrder(
                            eviction.view().identifier(),
                            new EngineOrder.UnloadModel(eviction.victim()),
                            reason + "_" + model,
                            model),
                    model);
            copies.merge(eviction.victim(), -1, Integer::sum);
        });
        return best.isPresent();
    }

    /** How much work the remaining copies of a model may have that gives one up. */
    private double acceptableWork(String model, boolean isWanted) {
        if (copies.getOrDefault(model, 0) > 0) {
            return workOfCopy(model, copies.get(model) + 1) * DONOR_FACTOR;
        }
        return isWanted || work(model) > 0 ? OVERLOADED_WORK : BUSY_WORK;
    }

    private void add(PlannedOrder order, String gaining) {
        orders.add(order);
        ordered.add(order.engine());
        copies.merge(gaining, 1, Integer::sum);
    }
}
