package org.pollenhoist.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.pollenhoist.configuration.WeightStoreLimits;
import org.pollenhoist.upstream.EngineItem;
import org.pollenhoist.upstream.EngineOrder;

/** Watches the engines' true state and notes each breach of what must always hold. */
final class HistoryChecker {

    private static final long START_WINDOW_MILLIS = 10_000;
    private static final long EVIDENCE_AGE_MILLIS = 10_000;

    private final Collection<FakeEngine> engines;
    private final WeightStoreLimits limits;
    private final Map<String, Long> lastLostCopy = new HashMap<>();
    private final Map<String, Long> firstSent = new HashMap<>();
    private final Deque<Long> starts = new ArrayDeque<>();
    final List<String> breaches = new ArrayList<>();

    HistoryChecker(Collection<FakeEngine> engines, WeightStoreLimits limits) {
        this.engines = engines;
        this.limits = limits;
    }

    void sent(EngineOrder order, long now) {
        firstSent.putIfAbsent(order.identifier(), now);
    }

    void crashing(FakeEngine engine, Collection<String> models, long now) {
        models.stream().filter(engine::isReady).forEach(model -> lastLostCopy.put(model, now));
    }

    void begun(FakeEngine engine, EngineOrder order, int modelLoads, int adapterLoads, long now) {
        if (engine.usedBytes() > engine.upstream.memoryBytes()) {
            breaches.add("memory of " + engine.upstream.name() + " is " + engine.usedBytes() + " of "
                    + engine.upstream.memoryBytes() + " bytes at " + now + " ms");
        }
        boolean isModel = order.item().kind() == EngineItem.Kind.MODEL;
        if (order.isLoad()) {
            checkStore(isModel, modelLoads, adapterLoads, now);
        } else if (isModel) {
            checkReachable(order, now);
        }
    }

    private void checkStore(boolean isModel, int modelLoads, int adapterLoads, long now) {
        if (modelLoads > limits.loadsAtFullSpeed() || adapterLoads > limits.adapterLoadsInFlight()) {
            breaches.add("store carries " + modelLoads + " model and " + adapterLoads + " adapter loads at " + now);
        }
        if (isModel) {
            starts.addLast(now);
            while (starts.peekFirst() <= now - START_WINDOW_MILLIS) {
                starts.removeFirst();
            }
            double largest = limits.loadStartsPerSecond() * START_WINDOW_MILLIS / 1000 + limits.loadsAtFullSpeed();
            if (starts.size() > largest) {
                breaches.add("store began " + starts.size() + " loads within 10 s at " + now);
            }
        }
    }

    private void checkReachable(EngineOrder order, long now) {
        String model = order.item().name();
        boolean isReachable = engines.stream().anyMatch(engine -> engine.isReady(model));
        long decided = firstSent.getOrDefault(order.identifier(), now);
        boolean isLostToCrash = lastLostCopy.getOrDefault(model, Long.MIN_VALUE) >= decided - EVIDENCE_AGE_MILLIS;
        if (!isReachable && !isLostToCrash) {
            breaches.add("last copy of " + model + " was unloaded at " + now + " ms by " + order.identifier());
        }
    }
}
