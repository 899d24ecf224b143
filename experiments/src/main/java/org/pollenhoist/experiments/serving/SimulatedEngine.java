package org.pollenhoist.experiments.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.pollenhoist.experiments.simulation.EventQueue;
import org.pollenhoist.serving.placement.EngineOrder;
import org.pollenhoist.serving.placement.OrderOutcome;
import org.pollenhoist.serving.request.PromptSegment;

/**
 * An engine that batches continuously: in each step every running request gets a token, and a chunk of unread prompts
 * is read. What it holds shares its batch and its memory. Times in milliseconds.
 */
final class SimulatedEngine {

    private static final Comparator<EngineRun> URGENCY =
            Comparator.comparingInt((EngineRun run) -> run.priority).thenComparingLong(run -> run.sentAt);

    final String name;
    final String domain;
    private final HeavyDay day;
    private final EventQueue time;
    private final Consumer<SimulatedEngine> onChange;
    private final Map<String, Set<String>> held = new HashMap<>();
    private final Map<String, Boolean> copies = new LinkedHashMap<>(16, 0.75f, true);
    private final Map<String, Integer> keptParts = new LinkedHashMap<>(16, 0.75f, true);
    private final List<EngineRun> running = new ArrayList<>();
    private final List<EngineRun> waiting = new ArrayList<>();
    private long sequence;
    private boolean isOccupied;
    private boolean isGone;
    private boolean isStepping;
    private final List<Long> storeLoads = new ArrayList<>();

    SimulatedEngine(String name, String domain, HeavyDay day, EventQueue time, Consumer<SimulatedEngine> onChange) {
        this.name = name;
        this.domain = domain;
        this.day = day;
        this.time = time;
        this.onChange = onChange;
    }

    void hold(String model) {
        held.put(model, new HashSet<>());
        copies.put(model, true);
    }

    /** Takes over what the disk of an earlier life of this engine keeps. */
    void keepDisk(SimulatedEngine earlier) {
        copies.putAll(earlier.copies);
    }

    Map<String, Set<String>> held() {
        return held;
    }

    Set<String> localCopies() {
        return copies.keySet();
    }

    long sequence() {
        return sequence;
    }

    boolean isOccupied() {
        return isOccupied;
    }

    boolean isGone() {
        return isGone;
    }

    /** When loads from the weight store began, on the simulated clock. */
    List<Long> storeLoads() {
        return storeLoads;
    }

    /** All that runs here ends; nothing comes any more. */
    void crash() {
        isGone = true;
        List<EngineRun> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        running.clear();
        waiting.clear();
        lost.forEach(run -> run.listener.onBroken());
    }

    void send(EngineRun run) {
        boolean isHeld = held.containsKey(run.model)
                && (run.adapter.isEmpty() || held.get(run.model).contains(run.adapter));
        if (!isHeld || run.totalTokens() > day.engine().memoryTokens()) {
            run.listener.onRejected();
            return;
        }
        waiting.add(run);
        step();
    }

    private long usedTokens() {
        return running.stream().mapToLong(EngineRun::totalTokens).sum();
    }

    private void admit() {
        waiting.removeIf(run -> run.isCancelled);
        running.removeIf(run -> run.isCancelled);
        waiting.sort(URGENCY);
        while (!waiting.isEmpty()
                && running.size() < day.engine().slots()
                && usedTokens() + waiting.get(0).totalTokens() <= day.engine().memoryTokens()) {
            EngineRun run = waiting.remove(0);
            run.unreadTokens = Math.max(1, run.promptTokens - keptTokens(run));
            running.add(run);
        }
    }

    private long keptTokens(EngineRun run) {
        long kept = 0;
        for (PromptSegment part : run.parts) {
            if (keptParts.get(run.model + run.adapter + part.identifier()) == null) {
                break;
            }
            kept += part.tokens();
        }
        return kept;
    }

    private void step() {
        if (isStepping || isGone) {
            return;
        }
        admit();
        if (running.isEmpty()) {
            return;
        }
        isStepping = true;
        EngineModel engine = day.engine();
        double pace = running.stream()
                .mapToDouble(run -> day.paces().get(run.model))
                .max()
                .orElse(1);
        double milliseconds = (engine.stepMilliseconds() + engine.stepMillisecondsPerRequest() * running.size()) * pace;
        long chunk = engine.chunkTokens();
        List<EngineRun> decoding = new ArrayList<>();
        Map<EngineRun, Long> reading = new LinkedHashMap<>();
        for (EngineRun run : running) {
            if (run.unreadTokens == 0) {
                decoding.add(run);
            } else if (chunk > 0) {
                long read = Math.min(chunk, run.unreadTokens);
                chunk -= read;
                reading.put(run, read);
                milliseconds += read * day.paces().get(run.model) / engine.promptTokensPerMillisecond();
            }
        }
        time.after(Math.max(1, Math.round(milliseconds)), () -> finishStep(decoding, reading));
    }

    private void finishStep(List<EngineRun> decoding, Map<EngineRun, Long> reading) {
        isStepping = false;
        if (isGone) {
            return;
        }
        reading.forEach((run, read) -> {
            run.unreadTokens -= read;
            if (run.unreadTokens == 0 && !run.isCancelled) {
                keep(run);
                emit(run);
            }
        });
        decoding.stream().filter(run -> !run.isCancelled).forEach(this::emit);
        step();
    }

    private void keep(EngineRun run) {
        run.parts.forEach(part -> keptParts.put(run.model + run.adapter + part.identifier(), part.tokens()));
        long room = Math.max(0, day.engine().memoryTokens() - usedTokens());
        long kept = keptParts.values().stream().mapToLong(Integer::longValue).sum();
        var eldest = keptParts.entrySet().iterator();
        while (kept > room && eldest.hasNext()) {
            kept -= eldest.next().getValue();
            eldest.remove();
        }
    }

    private void emit(EngineRun run) {
        run.madeTokens++;
        run.listener.onToken(run.madeTokens == 1);
        if (run.madeTokens >= run.outputTokens) {
            running.remove(run);
            run.listener.onComplete();
        }
    }

    /** Takes an order or rejects it, as engines do. */
    OrderOutcome order(EngineOrder order, long expectedSequence) {
        if (isGone) {
            return OrderOutcome.NOT_SENT;
        }
        if (isOccupied || sequence != expectedSequence) {
            return OrderOutcome.CONFLICT;
        }
        return switch (order) {
            case EngineOrder.LoadModel load -> load(load.model());
            case EngineOrder.UnloadModel unload -> unload(unload.model());
            case EngineOrder.LoadAdapter load -> loadAdapter(load);
            case EngineOrder.UnloadAdapter unload -> {
                held.getOrDefault(unload.model(), new HashSet<>()).remove(unload.adapter());
                sequence++;
                yield OrderOutcome.DONE;
            }
        };
    }

    private OrderOutcome load(String model) {
        if (held.containsKey(model)) {
            return OrderOutcome.DONE;
        }
        double used = held.keySet().stream()
                .mapToDouble(name -> day.models().get(name).weightMegabytes())
                .sum();
        if (used + day.models().get(model).weightMegabytes() > day.engine().weightMegabytes()) {
            throw new IllegalStateException(name + " was ordered beyond its memory: " + held.keySet() + " + " + model);
        }
        sequence++;
        isOccupied = true;
        boolean hasCopy = copies.containsKey(model);
        if (!hasCopy) {
            storeLoads.add(time.now());
        }
        long duration = day.models().get(model).loadTime(hasCopy).toMillis();
        time.after(duration, () -> {
            isOccupied = false;
            if (!isGone) {
                hold(model);
                var eldest = copies.entrySet().iterator();
                while (copies.size() > day.engine().diskCopies()) {
                    eldest.next();
                    eldest.remove();
                }
                onChange.accept(this);
            }
        });
        return OrderOutcome.ACCEPTED;
    }

    private OrderOutcome unload(String model) {
        sequence++;
        isOccupied = true;
        awaitRuns(model);
        return OrderOutcome.ACCEPTED;
    }

    private void awaitRuns(String model) {
        boolean isUsed = running.stream().anyMatch(run -> run.model.equals(model) && !run.isCancelled);
        if (isUsed) {
            time.after(20, () -> awaitRuns(model));
            return;
        }
        isOccupied = false;
        held.remove(model);
        List<EngineRun> late =
                waiting.stream().filter(run -> run.model.equals(model)).toList();
        waiting.removeAll(late);
        late.forEach(run -> run.listener.onRejected());
        onChange.accept(this);
    }

    private OrderOutcome loadAdapter(EngineOrder.LoadAdapter load) {
        Set<String> adapters = held.get(load.model());
        if (adapters == null) {
            return OrderOutcome.REJECTED;
        }
        if (adapters.contains(load.adapter())) {
            return OrderOutcome.DONE;
        }
        int places = held.values().stream().mapToInt(Set::size).sum();
        if (places >= day.engine().adapterPlaces()) {
            throw new IllegalStateException(name + " was ordered beyond its places for adapters: " + held);
        }
        sequence++;
        adapters.add(load.adapter());
        return OrderOutcome.ACCEPTED;
    }
}
