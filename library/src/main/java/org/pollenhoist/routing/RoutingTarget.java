package org.pollenhoist.routing;

import java.util.Optional;
import org.pollenhoist.common.AdapterName;
import org.pollenhoist.common.ModelName;

/**
 * What a request needs from its upstream.
 *
 * @param pool the group of upstreams that can serve it
 * @param model the model that must be resident; empty for a plain service
 * @param adapter the adapter that must be resident beside the model; empty where none is asked for
 */
public record RoutingTarget(String pool, Optional<ModelName> model, Optional<AdapterName> adapter) {

    /**
     * Returns the target of a plain service's request.
     *
     * @param pool the group of upstreams
     * @return the target
     */
    public static RoutingTarget ofPool(String pool) {
        return new RoutingTarget(pool, Optional.empty(), Optional.empty());
    }

    /**
     * Returns the target of a request to a model.
     *
     * @param pool the group of upstreams that can hold the model
     * @param model the model
     * @return the target
     */
    public static RoutingTarget ofModel(String pool, ModelName model) {
        return new RoutingTarget(pool, Optional.of(model), Optional.empty());
    }

    /**
     * Returns the target of a request to a model with an adapter.
     *
     * @param pool the group of upstreams that can hold the model
     * @param model the model
     * @param adapter the adapter
     * @return the target
     */
    public static RoutingTarget ofAdapter(String pool, ModelName model, AdapterName adapter) {
        return new RoutingTarget(pool, Optional.of(model), Optional.of(adapter));
    }
}
