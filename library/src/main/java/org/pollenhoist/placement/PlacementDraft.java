package org.pollenhoist.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.configuration.Model;
import org.pollenhoist.upstream.EngineItem;

/**
 * What one decision round has planned so far: the moves and the engines as they will be. Working state of one round,
 * used by one thread.
 */
final class PlacementDraft {

    private final DomainState state;
    private final List<EngineDraft> engines = new ArrayList<>();
    private final List<Move.Unload> unloads = new ArrayList<>();
    private final List<Move.Load> loads = new ArrayList<>();
    private final Map<ModelName, Integer> steadyCopies = new HashMap<>();

    PlacementDraft(DomainState state, PolicySettings settings) {
        this.state = state;
        for (UpstreamState upstream : state.upstreams().values()) {
            double sequences = upstream.upstream().accelerators() * settings.sequencesPerAccelerator();
            EngineDraft engine = new EngineDraft(upstream, sequences * settings.targetUtilisation());
            enterItems(engine);
            engines.add(engine);
        }
    }

    private void enterItems(EngineDraft engine) {
        UpstreamLedger ledger = engine.state().ledger();
        Set<EngineItem> covered = new HashSet<>();
        Map<EngineItem, Long> committed = ledger.committed();
        for (EngineItem item : committed.keySet()) {
            Model model = configured(item);
            if (model == null || item.kind() != EngineItem.Kind.MODEL) {
                continue;
            }
            boolean isGoing = ledger.isUnloadPending(item);
            long bytes = Math.max(committed.get(item), Footprint.bytes(model));
            engine.takeBytes(bytes);
            if (item.version().equals(model.version())) {
                engine.occupied().add(model.name());
            }
            covered.add(item);
            covered.addAll(Footprint.adapterItems(model));
            if (isGoing) {
                engine.freeLater(bytes);
            } else {
                countCopy(engine, ledger, model, item);
            }
        }
        committed.forEach((item, bytes) -> {
            if (!covered.contains(item)) {
                engine.takeBytes(bytes);
                engine.freeLater(ledger.isUnloadPending(item) ? bytes : 0);
            }
        });
    }

    private void countCopy(EngineDraft engine, UpstreamLedger ledger, Model model, EngineItem item) {
        boolean isSteady = engine.state().steadyItems().contains(item);
        boolean isLoading = engine.state().isServing()
                && !isSteady
                && ledger.openLoads().stream()
                        .anyMatch(order -> order.order().item().equals(item));
        boolean isServedVersion = item.version().equals(model.version());
        if (isSteady) {
            steadyCopies.merge(model.name(), 1, Integer::sum);
        }
        if (isServedVersion && (isSteady || isLoading)) {
            engine.copies().add(model.name());
        }
    }

    private Model configured(EngineItem item) {
        return state.models().get(ModelName.of(item.modelName()));
    }

    DomainState state() {
        return state;
    }

    List<EngineDraft> engines() {
        return engines;
    }

    List<EngineDraft> engines(Model model) {
        return engines.stream()
                .filter(engine -> engine.state().upstream().pool().equals(model.pool()))
                .filter(engine -> engine.state().isServing())
                .toList();
    }

    int steadyCopies(ModelName model) {
        return steadyCopies.getOrDefault(model, 0);
    }

    int plannedCopies(ModelName model) {
        return (int) engines.stream()
                .filter(engine -> engine.copies().contains(model))
                .count();
    }

    void load(EngineDraft engine, Model model, Move.Reason reason, MonotonicTime since) {
        loads.add(new Move.Load(engine.state().name(), Footprint.modelItem(model), model.memoryBytes(), reason, since));
        engine.takeBytes(Footprint.bytes(model));
        engine.copies().add(model.name());
        engine.occupied().add(model.name());
    }

    void loadAdapter(EngineDraft engine, Model model, EngineItem adapter, MonotonicTime since) {
        loads.add(
                new Move.Load(engine.state().name(), adapter, model.adapterMemoryBytes(), Move.Reason.ADAPTER, since));
    }

    /** Plans to unload a model with its adapters. */
    void evict(EngineDraft engine, Model model, Move.Reason reason) {
        for (EngineItem item : engine.state().ledger().committed().keySet()) {
            if (item.modelName().equals(model.name().value())) {
                unloads.add(new Move.Unload(engine.state().name(), item, reason));
            }
        }
        engine.freeLater(Footprint.bytes(model));
        engine.copies().remove(model.name());
        steadyCopies.merge(model.name(), -1, Integer::sum);
    }

    void unload(EngineDraft engine, EngineItem item, Move.Reason reason) {
        unloads.add(new Move.Unload(engine.state().name(), item, reason));
    }

    /** Returns the moves: unloads first, since they take no part of the weight store's limits. */
    List<Move> moves() {
        List<Move> moves = new ArrayList<>(unloads);
        moves.addAll(LoadQueue.ordered(loads));
        return moves;
    }
}
