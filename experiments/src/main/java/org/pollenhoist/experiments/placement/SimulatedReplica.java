package org.pollenhoist.experiments.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.configuration.Model;
import org.pollenhoist.configuration.Upstream;

/** A replica as the experiment models it: memory for models and places in its batch. */
final class SimulatedReplica {

    static final int PLACES = 32;

    /** The states of a model on a replica. */
    enum State {
        LOADING,
        READY,
        UNLOADING
    }

    private final Upstream upstream;
    private final Map<ModelName, State> states = new TreeMap<>();
    private final Map<ModelName, Integer> running = new HashMap<>();
    private final Map<ModelName, Double> lastUsed = new HashMap<>();
    private final Map<ModelName, Long> bytes = new HashMap<>();
    private long freeBytes;
    private int busy;

    SimulatedReplica(Upstream upstream) {
        this.upstream = upstream;
        this.freeBytes = upstream.memoryBytes();
    }

    Upstream upstream() {
        return upstream;
    }

    Map<ModelName, State> states() {
        return states;
    }

    long freeBytes() {
        return freeBytes;
    }

    int busy() {
        return busy;
    }

    boolean hasFreePlace() {
        return busy < PLACES;
    }

    boolean isReady(ModelName model) {
        return states.get(model) == State.READY;
    }

    boolean isIdle(ModelName model) {
        return running.getOrDefault(model, 0) == 0;
    }

    double lastUsed(ModelName model) {
        return lastUsed.getOrDefault(model, 0.0);
    }

    static long footprint(Model model) {
        return model.memoryBytes() + model.adapters().size() * model.adapterMemoryBytes();
    }

    void place(Model model, State state, double now) {
        long footprint = footprint(model);
        if (footprint > freeBytes) {
            throw new IllegalStateException("replica " + upstream.name() + " has no memory for " + model.name());
        }
        freeBytes -= footprint;
        bytes.put(model.name(), footprint);
        states.put(model.name(), state);
        lastUsed.put(model.name(), now);
    }

    void setState(ModelName model, State state) {
        states.put(model, state);
    }

    /** Removes the models that are to go and that no request uses. */
    void removeIdle() {
        for (ModelName model : new ArrayList<>(states.keySet())) {
            if (states.get(model) == State.UNLOADING && isIdle(model)) {
                states.remove(model);
                freeBytes += bytes.remove(model);
            }
        }
    }

    void begin(ModelName model, double now) {
        busy++;
        running.merge(model, 1, Integer::sum);
        lastUsed.put(model, now);
    }

    void end(ModelName model) {
        busy--;
        running.merge(model, -1, Integer::sum);
    }

    List<ModelName> readyModels() {
        return states.entrySet().stream()
                .filter(entry -> entry.getValue() == State.READY)
                .map(Map.Entry::getKey)
                .toList();
    }
}
