package org.pollenhoist.serving.returns;

/**
 * The upstreams that a refused request could have been sent to.
 *
 * @param service the name of the service
 * @param model the model; empty for plain services
 */
public record Pool(String service, String model) {

    /**
     * Returns the kind of the pool, for metrics.
     *
     * @return {@code engine} or {@code plain}
     */
    public String kind() {
        return model.isEmpty() ? "plain" : "engine";
    }
}
