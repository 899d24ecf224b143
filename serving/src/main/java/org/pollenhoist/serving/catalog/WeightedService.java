package org.pollenhoist.serving.catalog;

/**
 * A service that takes a part of a route's requests.
 *
 * @param service the service's name
 * @param weight its weight among the route's services
 */
public record WeightedService(String service, double weight) {}
