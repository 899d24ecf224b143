package org.pollenhoist.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.configuration.Model;
import org.pollenhoist.upstream.EngineItem;

/** Finds an engine for a further copy of a model, if need be by evicting copies that are worth less. */
final class RoomFinder {

    /** Worth of a copy that keeps the domain's model reachable when an upstream is lost, in concurrent sequences. */
    private static final double WORTH_OF_SPARE_COPY = 1e6;

    /** Gain of a first copy, in concurrent sequences. */
    static final double GAIN_OF_FIRST_COPY = 1e9;

    /** Gain of a spare copy, in concurrent sequences; less than the worth of another spare copy. */
    static final double GAIN_OF_SPARE_COPY = 1e5;

    private final PlacementDraft draft;
    private final LoadSpread spread;
    private final PolicySettings settings;
    private final PolicyMemory memory;
    private final MonotonicTime now;

    RoomFinder(
            PlacementDraft draft, LoadSpread spread, PolicySettings settings, PolicyMemory memory, MonotonicTime now) {
        this.draft = draft;
        this.spread = spread;
        this.settings = settings;
        this.memory = memory;
        this.now = now;
    }

    /** Where a copy can go. */
    sealed interface Room {

        /** Memory is free now. */
        record Free(EngineDraft engine) implements Room {}

        /** Memory will be free once pending unloads are settled. */
        record BeingFreed(EngineDraft engine) implements Room {}

        /** Memory is free once these copies are evicted. */
        record AfterEviction(EngineDraft engine, List<Model> evicted) implements Room {}
    }

    /**
     * Finds room for a copy.
     *
     * @param model the model
     * @param gain what the copy is worth, in concurrent sequences
     * @param preference how well an engine suits, the highest first
     */
    Optional<Room> find(Model model, double gain, Comparator<EngineDraft> preference) {
        long bytes = Footprint.bytes(model);
        List<EngineDraft> candidates = draft.engines(model).stream()
                .filter(engine -> !engine.occupied().contains(model.name()))
                .sorted(Comparator.comparing((EngineDraft engine) -> engine.state()
                                .isSteady(EngineItem.Kind.MODEL, model.name().value()))
                        .thenComparing(preference.reversed()))
                .toList();
        Optional<Room> free = candidates.stream()
                .filter(engine -> engine.freeBytes() >= bytes)
                .findFirst()
                .map(Room.Free::new);
        if (free.isPresent()) {
            return free;
        }
        Optional<Room> beingFreed = candidates.stream()
                .filter(engine -> engine.freeBytes() + engine.bytesBeingFreed() >= bytes)
                .findFirst()
                .map(Room.BeingFreed::new);
        return beingFreed.isPresent() ? beingFreed : afterEviction(model, gain, candidates);
    }

    private Optional<Room> afterEviction(Model model, double gain, List<EngineDraft> candidates) {
        Room best = null;
        double bestWorth = gain - settings.minimumGain();
        for (EngineDraft engine : candidates) {
            long missing = Footprint.bytes(model) - engine.freeBytes() - engine.bytesBeingFreed();
            List<Model> evicted = new ArrayList<>();
            double worth = 0;
            for (Victim victim : victims(engine)) {
                if (missing <= 0) {
                    break;
                }
                evicted.add(victim.model());
                worth += victim.worth();
                missing -= Footprint.bytes(victim.model());
            }
            if (missing <= 0 && worth < bestWorth) {
                best = new Room.AfterEviction(engine, evicted);
                bestWorth = worth;
            }
        }
        return Optional.ofNullable(best);
    }

    private record Victim(Model model, double worth) {}

    private List<Victim> victims(EngineDraft engine) {
        List<Victim> victims = new ArrayList<>();
        for (ModelName name : engine.copies()) {
            Model model = draft.state().models().get(name);
            if (model != null && isEvictable(engine, model)) {
                victims.add(new Victim(model, worth(engine, name)));
            }
        }
        victims.sort(Comparator.comparingDouble(Victim::worth));
        return victims;
    }

    private double worth(EngineDraft engine, ModelName name) {
        boolean isRequired = draft.steadyCopies(name) <= draft.state().requiredCopies(name);
        return spread.worth(name, engine) + (isRequired ? WORTH_OF_SPARE_COPY : 0);
    }

    private boolean isEvictable(EngineDraft engine, Model model) {
        EngineItem item = Footprint.modelItem(model);
        boolean isSteady = engine.state().steadyItems().contains(item);
        boolean isLast = draft.steadyCopies(model.name()) <= 1
                && !draft.state().heldElsewhere().contains(model.name());
        MonotonicTime since = memory.copySince()
                .get(new PolicyMemory.CopyPlace(model.name(), engine.state().name()));
        boolean isYoung = since == null || now.since(since).compareTo(settings.minimumResidence()) < 0;
        return isSteady && !isLast && !isYoung && areAdaptersHeldElsewhere(engine, model);
    }

    private boolean areAdaptersHeldElsewhere(EngineDraft engine, Model model) {
        if (draft.state().heldElsewhere().contains(model.name())) {
            return true;
        }
        return Footprint.adapterItems(model).stream()
                .filter(adapter -> engine.state().ledger().residents().containsKey(adapter))
                .allMatch(adapter -> draft.engines().stream()
                        .filter(other -> other != engine && other.copies().contains(model.name()))
                        .anyMatch(other -> other.state().steadyItems().contains(adapter)));
    }
}
