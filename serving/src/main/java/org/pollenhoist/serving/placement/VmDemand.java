package org.pollenhoist.serving.placement;

import java.time.Duration;
import java.util.Map;

/**
 * The demand of the callers of one VM, as that VM reports it.
 *
 * @param workByModel the recent work requested of each model
 * @param observationTime the time for which the VM has recorded demand
 */
public record VmDemand(Map<String, RecentWork> workByModel, Duration observationTime) {}
