package org.pollenhoist.serving.placement;

import java.time.Duration;
import java.util.Map;

/**
 * What one VM reports on the demand of its callers.
 *
 * @param workByModel the work that was asked of each model lately
 * @param observationTime for how long the VM has counted work
 */
public record VmDemand(Map<String, RecentWork> workByModel, Duration observationTime) {}
