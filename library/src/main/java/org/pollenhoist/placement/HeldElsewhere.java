package org.pollenhoist.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.ModelName;

/**
 * The models that a domain need not hold itself. Its first home, which never gives up its last copy, must hold one by
 * the same or a later configuration, and where memory holds two copies of each model, a second copy must answer
 * elsewhere: what is known of other domains is seconds old, and one of their upstreams may have been lost since.
 */
final class HeldElsewhere {

    private HeldElsewhere() {}

    static Set<ModelName> of(HomeDomains homes, Collection<PlacementPlan> others, long configurationRevision) {
        Set<ModelName> heldAtFirstHome = new HashSet<>();
        Map<ModelName, Integer> copies = new HashMap<>();
        for (PlacementPlan plan : others) {
            if (plan.configurationRevision() < configurationRevision) {
                continue;
            }
            FailureDomain other = FailureDomain.of(plan.domain());
            plan.readyCopies().forEach((model, count) -> copies.merge(model, count, Integer::sum));
            plan.readyModels().stream()
                    .filter(model ->
                            homes.firstHome(model).filter(other::equals).isPresent())
                    .forEach(heldAtFirstHome::add);
        }
        heldAtFirstHome.removeIf(model -> copies.getOrDefault(model, 0) < homes.requiredCopies(model));
        return heldAtFirstHome;
    }
}
