package org.pollenhoist.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.configuration.Model;
import org.pollenhoist.upstream.EngineItem;

/**
 * Holds every required model first, then adds copies where most demand goes unserved. Copies are given up only where
 * their memory serves more demand elsewhere, by more than the price of a move.
 */
public final class DemandDrivenPolicy implements PlacementPolicy {

    private final PolicySettings settings;

    /**
     * Creates the policy.
     *
     * @param settings how it weighs
     */
    public DemandDrivenPolicy(PolicySettings settings) {
        this.settings = settings;
    }

    @Override
    public Proposal decide(DomainState state, PolicyMemory memory, MonotonicTime now) {
        return new Round(state, memory, now).propose();
    }

    /** The working state of one round. */
    private final class Round {

        private final DomainState state;
        private final MonotonicTime now;
        private final Map<ModelName, DemandEstimate> estimates = new HashMap<>();
        private final Map<ModelName, Double> demand = new HashMap<>();
        private final Map<ModelName, MonotonicTime> oldWaitingSince;
        private final Map<ModelName, MonotonicTime> waitingSince = new HashMap<>();
        private final PlacementDraft draft;
        private final LoadSpread spread;
        private final RoomFinder rooms;
        private final PolicyMemory memory;

        Round(DomainState state, PolicyMemory memory, MonotonicTime now) {
            this.state = state;
            this.now = now;
            this.oldWaitingSince = memory.waitingSince();
            updateEstimates(memory);
            this.draft = new PlacementDraft(state, settings);
            this.memory = new PolicyMemory(estimates, Map.of(), copySince(memory));
            this.spread = LoadSpread.of(demand, draft.engines());
            this.rooms = new RoomFinder(draft, spread, settings, this.memory, now);
        }

        private void updateEstimates(PolicyMemory old) {
            for (ModelName model : state.models().keySet()) {
                double measured = state.demand().getOrDefault(model, 0.0);
                DemandEstimate before = old.demand().getOrDefault(model, new DemandEstimate(measured, now));
                DemandEstimate estimate = before.with(measured, settings, now);
                estimates.put(model, estimate);
                demand.put(model, estimate.sequences());
            }
        }

        private Map<PolicyMemory.CopyPlace, MonotonicTime> copySince(PolicyMemory old) {
            Map<PolicyMemory.CopyPlace, MonotonicTime> since = new HashMap<>();
            for (UpstreamState upstream : state.upstreams().values()) {
                for (EngineItem item : upstream.steadyItems()) {
                    if (item.kind() == EngineItem.Kind.MODEL) {
                        var place = new PolicyMemory.CopyPlace(ModelName.of(item.name()), upstream.name());
                        since.put(place, old.copySince().getOrDefault(place, now));
                    }
                }
            }
            return since;
        }

        Proposal propose() {
            releaseReservations();
            removeUnlisted();
            replaceVersions();
            addRequiredCopies();
            addCopiesForDemand();
            addPreferredCopies();
            addAdapters();
            return new Proposal(draft.moves(), new PolicyMemory(estimates, waitingSince, memory.copySince()));
        }

        private MonotonicTime waiting(ModelName model) {
            MonotonicTime since = oldWaitingSince.getOrDefault(model, now);
            waitingSince.put(model, since);
            return since;
        }

        /** An order with a higher fencing number ends all older ones at engines that check it. */
        private void releaseReservations() {
            for (EngineDraft engine : draft.engines()) {
                UpstreamLedger ledger = engine.state().ledger();
                boolean hasOpenOrder = ledger.orders().stream().anyMatch(LedgerOrder::isOpen);
                if (!engine.state().upstream().refusesOldFencing() || hasOpenOrder) {
                    continue;
                }
                ledger.orders().stream()
                        .filter(order -> order.order().isLoad())
                        .map(order -> order.order().item())
                        .filter(item -> !ledger.residents().containsKey(item))
                        .findFirst()
                        .ifPresent(item -> draft.unload(engine, item, Move.Reason.RELEASE_RESERVATION));
            }
        }

        private void removeUnlisted() {
            for (EngineDraft engine : draft.engines()) {
                for (EngineItem item : engine.state().steadyItems()) {
                    if (!state.models().containsKey(ModelName.of(item.modelName()))) {
                        draft.unload(engine, item, Move.Reason.REMOVED_FROM_CONFIGURATION);
                    }
                }
            }
        }

        private void replaceVersions() {
            for (EngineDraft engine : draft.engines()) {
                for (EngineItem item : engine.state().steadyItems()) {
                    Model model = state.models().get(ModelName.of(item.modelName()));
                    if (model != null && !item.version().equals(model.version())) {
                        replaceVersion(engine, item, model);
                    }
                }
            }
        }

        private void replaceVersion(EngineDraft engine, EngineItem item, Model model) {
            EngineItem wanted = Footprint.modelItem(model);
            boolean isReplaced = draft.engines().stream()
                    .anyMatch(other -> other.state().steadyItems().contains(wanted));
            if (isReplaced) {
                draft.unload(engine, item, Move.Reason.VERSION_REPLACED);
            }
        }

        private void addRequiredCopies() {
            Set<ModelName> withOldVersion = modelsWithOldVersion();
            List<Model> missing = new ArrayList<>();
            for (Model model : state.models().values()) {
                int least = withOldVersion.contains(model.name()) ? 1 : 0;
                int wanted = Math.max(state.requiredCopies(model.name()), least);
                if (draft.plannedCopies(model.name()) < wanted) {
                    missing.add(model);
                }
            }
            missing.sort(Comparator.comparing((Model model) -> spread.copyCount(model.name()) > 0)
                    .thenComparing(model -> waiting(model.name()))
                    .thenComparing(Footprint::bytes, Comparator.reverseOrder()));
            for (Model model : missing) {
                addRequiredCopy(model);
            }
        }

        private Set<ModelName> modelsWithOldVersion() {
            Set<ModelName> names = new HashSet<>();
            for (EngineDraft engine : draft.engines()) {
                for (EngineItem item : engine.state().steadyItems()) {
                    Model model = state.models().get(ModelName.of(item.modelName()));
                    if (model != null && !item.version().equals(model.version())) {
                        names.add(model.name());
                    }
                }
            }
            return names;
        }

        private void addRequiredCopy(Model model) {
            boolean isFirst = spread.copyCount(model.name()) == 0;
            boolean isReachable = draft.steadyCopies(model.name()) > 0;
            Move.Reason reason =
                    !isFirst ? Move.Reason.SPARE_COPY : isReachable ? Move.Reason.NEW_VERSION : Move.Reason.NO_COPY;
            double gain = isFirst ? RoomFinder.GAIN_OF_FIRST_COPY : RoomFinder.GAIN_OF_SPARE_COPY;
            Optional<RoomFinder.Room> room = rooms.find(model, gain, Comparator.comparingLong(EngineDraft::freeBytes));
            room.ifPresent(found -> take(found, model, reason));
            if (room.isEmpty() && reason == Move.Reason.NEW_VERSION && draft.steadyCopies(model.name()) > 1) {
                giveUpOldCopy(model);
            }
        }

        /** Makes room for the new version by giving up one of several copies of the old one. */
        private void giveUpOldCopy(Model model) {
            for (EngineDraft engine : draft.engines()) {
                for (EngineItem item : engine.state().steadyItems()) {
                    boolean isModel = item.kind() == EngineItem.Kind.MODEL;
                    if (isModel && item.name().equals(model.name().value())) {
                        draft.unload(engine, item, Move.Reason.EVICTED);
                        return;
                    }
                }
            }
        }

        /** Spare copies fill memory that is free; they evict nothing. */
        private void addPreferredCopies() {
            state.preferredCopies().forEach((name, count) -> {
                Model model = state.models().get(name);
                int wanted = state.requiredCopies(name) + count;
                if (model != null && draft.plannedCopies(name) < wanted) {
                    rooms.find(model, 0, Comparator.comparingLong(EngineDraft::freeBytes))
                            .filter(room -> room instanceof RoomFinder.Room.Free)
                            .ifPresent(room -> take(room, model, Move.Reason.SPARE_COPY));
                }
            });
        }

        private void take(RoomFinder.Room room, Model model, Move.Reason reason) {
            MonotonicTime since = waiting(model.name());
            switch (room) {
                case RoomFinder.Room.Free free -> {
                    draft.load(free.engine(), model, reason, since);
                    spread.addCopy(model.name(), free.engine());
                }
                case RoomFinder.Room.BeingFreed freed -> reserve(freed.engine(), model);
                case RoomFinder.Room.AfterEviction eviction -> {
                    for (Model victim : eviction.evicted()) {
                        draft.evict(eviction.engine(), victim, Move.Reason.EVICTED);
                        spread.removeCopy(victim.name(), eviction.engine());
                    }
                    reserve(eviction.engine(), model);
                }
            }
        }

        private void reserve(EngineDraft engine, Model model) {
            engine.takeBytesBeingFreed(Footprint.bytes(model));
            engine.occupied().add(model.name());
            engine.copies().add(model.name());
            spread.addCopy(model.name(), engine);
        }

        private void addCopiesForDemand() {
            Set<ModelName> exhausted = new HashSet<>();
            for (int planned = 0; planned < settings.largestMovesPerRound(); planned++) {
                Optional<ModelName> neediest = neediest(exhausted);
                if (neediest.isEmpty()) {
                    return;
                }
                Model model = state.models().get(neediest.get());
                MonotonicTime since = waiting(model.name());
                double gain = spread.unserved(model.name());
                Optional<RoomFinder.Room> room =
                        rooms.find(model, gain, Comparator.comparingDouble(EngineDraft::spareSequences));
                if (room.isEmpty() || !isUseful(room.get())) {
                    exhausted.add(model.name());
                    relocateForRoom(model, gain);
                    continue;
                }
                waitingSince.put(model.name(), since);
                take(room.get(), model, Move.Reason.DEMAND);
            }
        }

        /**
         * Makes room on an engine with capacity to spare: another model that has its only copy there gets one on a
         * further engine, after which the copy here may go.
         */
        private void relocateForRoom(Model wanted, double gain) {
            Optional<EngineDraft> engine = draft.engines(wanted).stream()
                    .filter(candidate -> !candidate.occupied().contains(wanted.name()))
                    .filter(candidate -> candidate.spareSequences() >= settings.minimumGain())
                    .max(Comparator.comparingDouble(EngineDraft::spareSequences));
            if (engine.isEmpty()) {
                return;
            }
            for (ModelName name : List.copyOf(engine.get().copies())) {
                Model other = state.models().get(name);
                boolean isOnlyCopy = draft.plannedCopies(name) == 1 && draft.steadyCopies(name) == 1;
                double price = spread.worth(name, engine.get()) + settings.minimumGain();
                Optional<RoomFinder.Room> room = isOnlyCopy && gain > price
                        ? rooms.find(other, gain - price, Comparator.comparingDouble(EngineDraft::spareSequences))
                        : Optional.empty();
                if (room.isPresent()) {
                    take(room.get(), other, Move.Reason.RELOCATION);
                    return;
                }
            }
        }

        private boolean isUseful(RoomFinder.Room room) {
            EngineDraft engine = switch (room) {
                case RoomFinder.Room.Free free -> free.engine();
                case RoomFinder.Room.BeingFreed freed -> freed.engine();
                case RoomFinder.Room.AfterEviction eviction -> eviction.engine();
            };
            return engine.spareSequences() >= settings.minimumGain();
        }

        private Optional<ModelName> neediest(Set<ModelName> exhausted) {
            TreeMap<ModelName, Double> unserved = new TreeMap<>();
            for (ModelName model : state.models().keySet()) {
                double sequences = spread.unserved(model);
                if (sequences >= settings.minimumGain() && !exhausted.contains(model)) {
                    unserved.put(model, sequences);
                }
            }
            return unserved.entrySet().stream()
                    .max(Map.Entry.comparingByValue())
                    .map(Map.Entry::getKey);
        }

        private void addAdapters() {
            for (EngineDraft engine : draft.engines()) {
                for (EngineItem item : engine.state().steadyItems()) {
                    Model model = state.models().get(ModelName.of(item.modelName()));
                    boolean isServed = model != null
                            && item.equals(Footprint.modelItem(model))
                            && engine.copies().contains(model.name());
                    if (isServed) {
                        addAdapters(engine, model);
                    }
                }
            }
        }

        private void addAdapters(EngineDraft engine, Model model) {
            UpstreamLedger ledger = engine.state().ledger();
            var place = new PolicyMemory.CopyPlace(model.name(), engine.state().name());
            MonotonicTime since = memory.copySince().getOrDefault(place, now);
            for (EngineItem adapter : Footprint.adapterItems(model)) {
                boolean isThere = ledger.residents().containsKey(adapter);
                boolean isOrdered = ledger.openLoads().stream()
                        .anyMatch(order -> order.order().item().equals(adapter));
                if (!isThere && !isOrdered) {
                    draft.loadAdapter(engine, model, adapter, since);
                }
            }
        }
    }
}
