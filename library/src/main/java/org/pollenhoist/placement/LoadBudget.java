package org.pollenhoist.placement;

import org.pollenhoist.common.MonotonicTime;

/**
 * What a domain may load from the weight store at a point in time. A new acting process begins with an empty level, so
 * that a change of process never starts more loads than the limit.
 *
 * @param share the domain's part of the store's limits
 * @param startLevel model loads that may start now
 * @param refilledAt when the level was computed
 * @param modelLoadsInFlight model loads that may still take effect
 * @param adapterLoadsInFlight adapter loads that may still take effect
 */
public record LoadBudget(
        StoreShare share,
        double startLevel,
        MonotonicTime refilledAt,
        int modelLoadsInFlight,
        int adapterLoadsInFlight) {

    private static final double LARGEST_START_LEVEL = 1;

    /**
     * Returns the budget of a process that begins to act.
     *
     * @param share the domain's part
     * @param now the present time
     * @return an empty budget
     */
    public static LoadBudget empty(StoreShare share, MonotonicTime now) {
        return new LoadBudget(share, 0, now, 0, 0);
    }

    /**
     * Returns the budget at a later time.
     *
     * @param newShare the domain's part by now
     * @param modelLoads model loads that may still take effect
     * @param adapterLoads adapter loads that may still take effect
     * @param now the present time
     * @return the budget
     */
    public LoadBudget at(StoreShare newShare, int modelLoads, int adapterLoads, MonotonicTime now) {
        double refilled = startLevel + newShare.loadStartsPerSecond() * Math.max(0, now.secondsSince(refilledAt));
        double largest = Math.max(LARGEST_START_LEVEL, newShare.loadStartsPerSecond());
        return new LoadBudget(newShare, Math.min(largest, refilled), now, modelLoads, adapterLoads);
    }

    boolean isModelLoadAllowed() {
        return startLevel >= 1 && modelLoadsInFlight < share.modelLoadsInFlight();
    }

    boolean isAdapterLoadAllowed() {
        return adapterLoadsInFlight < share.adapterLoadsInFlight();
    }

    LoadBudget withModelLoad() {
        return new LoadBudget(share, startLevel - 1, refilledAt, modelLoadsInFlight + 1, adapterLoadsInFlight);
    }

    LoadBudget withAdapterLoad() {
        return new LoadBudget(share, startLevel, refilledAt, modelLoadsInFlight, adapterLoadsInFlight + 1);
    }
}
