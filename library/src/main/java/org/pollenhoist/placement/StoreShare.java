package org.pollenhoist.placement;

import java.util.SortedSet;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.configuration.WeightStoreLimits;

/**
 * One failure domain's part of the weight store's limits. The parts of all domains add up to at most the whole, so that
 * domains need not talk to each other to keep the limits.
 *
 * @param loadStartsPerSecond model loads that may start in a second
 * @param modelLoadsInFlight model loads at once
 * @param adapterLoadsInFlight adapter loads at once
 */
public record StoreShare(double loadStartsPerSecond, int modelLoadsInFlight, int adapterLoadsInFlight) {

    /**
     * Divides the limits evenly; a remainder goes to the first domains in name order.
     *
     * @param limits the limits of the whole fleet
     * @param domains all failure domains with engines
     * @param domain the domain whose part is asked for
     * @return its part
     */
    public static StoreShare of(WeightStoreLimits limits, SortedSet<FailureDomain> domains, FailureDomain domain) {
        int index = domains.headSet(domain).size();
        int count = Math.max(1, domains.size());
        int modelLoads = part(limits.loadsAtFullSpeed(), count, index);
        int adapterLoads = part(limits.adapterLoadsInFlight(), count, index);
        return new StoreShare(limits.loadStartsPerSecond() / count, modelLoads, adapterLoads);
    }

    private static int part(int whole, int count, int index) {
        return whole / count + (index < whole % count ? 1 : 0);
    }
}
