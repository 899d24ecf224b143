package org.pollenhoist.serving.catalog;

/**
 * A service that receives a share of a route's requests, in proportion to its weight.
 *
 * @param service the service's name
 * @param weight its weight, relative to those of the route's other services
 */
public record WeightedService(String service, double weight) {}
