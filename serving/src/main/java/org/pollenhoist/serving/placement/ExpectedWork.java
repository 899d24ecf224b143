package org.pollenhoist.serving.placement;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.pollenhoist.common.MonotonicTime;

/** What work to expect of models: as demand shows, and until it was seen for a while, as the copies show. */
final class ExpectedWork {

    /** Before demand was counted for so long, the copies that models have tell more of it than a few requests do. */
    private static final Duration KNOWN_AFTER = Duration.ofMillis(1_500);

    /** Work of each copy, in engines, of a model that stands on several engines, before its demand is known. */
    private static final double ASSUMED_WORK_OF_COPY = 0.25;

    /** Factor on the work that demand shows: a copy too few loses more than one too many costs. */
    private static final double RESERVE = 1.2;

    private ExpectedWork() {}

    static Map<String, Double> of(DemandRates demand, Collection<EngineView> engines, MonotonicTime now) {
        Map<String, Double> work = new HashMap<>(demand.expectedWork(now));
        work.replaceAll((model, shown) -> shown * RESERVE);
        if (demand.observationTime().compareTo(KNOWN_AFTER) < 0) {
            Map<String, Integer> copies = new HashMap<>();
            engines.forEach(view -> view.models().forEach(model -> copies.merge(model, 1, Integer::sum)));
            copies.forEach((model, count) -> {
                if (count > 1) {
                    work.merge(model, count * ASSUMED_WORK_OF_COPY, Math::max);
                }
            });
        }
        return work;
    }
}
