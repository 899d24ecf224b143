package org.pollenhoist.serving.placement;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.pollenhoist.common.MonotonicTime;

/** Estimates the work of models from their demand and, until demand was observed long enough, from their copies. */
final class ExpectedWork {

    /** Until demand was observed for this time, the number of copies indicates it better than a few requests do. */
    private static final Duration MINIMUM_OBSERVATION_TIME = Duration.ofMillis(1_500);

    /** Assumed work per copy, in engines, of a model that is loaded on several engines, while its demand is unknown. */
    private static final double ASSUMED_WORK_PER_COPY = 0.25;

    /** Factor on the forecast work: a missing copy loses more than a superfluous one costs. */
    private static final double HEADROOM_FACTOR = 1.2;

    private ExpectedWork() {}

    static Map<String, Double> of(DemandRates demand, Collection<EngineView> engines, MonotonicTime now) {
        Map<String, Double> work = new HashMap<>(demand.expectedWork(now));
        work.replaceAll((model, forecast) -> forecast * HEADROOM_FACTOR);
        if (demand.observationTime().compareTo(MINIMUM_OBSERVATION_TIME) < 0) {
            Map<String, Integer> copies = new HashMap<>();
            engines.forEach(view -> view.readyOrLoadingModels().forEach(model -> copies.merge(model, 1, Integer::sum)));
            copies.forEach((model, count) -> {
                if (count > 1) {
                    work.merge(model, count * ASSUMED_WORK_PER_COPY, Math::max);
                }
            });
        }
        return work;
    }
}
