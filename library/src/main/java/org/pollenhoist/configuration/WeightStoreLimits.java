package org.pollenhoist.configuration;

/**
 * What the weight store allows over the whole fleet.
 *
 * @param loadStartsPerSecond model loads that may start in a second
 * @param loadsAtFullSpeed model loads at once that still run at full speed
 * @param adapterLoadsInFlight adapter loads at once that still run at full speed
 */
public record WeightStoreLimits(double loadStartsPerSecond, int loadsAtFullSpeed, int adapterLoadsInFlight) {}
