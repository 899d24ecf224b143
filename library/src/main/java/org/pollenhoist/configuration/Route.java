package org.pollenhoist.configuration;

import java.util.Set;
import org.pollenhoist.common.RouteName;

/**
 * The way to a plain service.
 *
 * @param name its name
 * @param pathPrefix the path under which callers reach it, such as {@code /bookings}; forwarded unchanged
 * @param pool the group of upstreams that serve it
 * @param isOpen whether callers need no key
 * @param idempotentMethods the HTTP methods that may be repeated, in upper case
 * @param tokensPerRequest what a request counts against the team's limit, in tokens
 */
public record Route(
        RouteName name,
        String pathPrefix,
        String pool,
        boolean isOpen,
        Set<String> idempotentMethods,
        double tokensPerRequest) {

    /** Copies the methods. */
    public Route {
        idempotentMethods = Set.copyOf(idempotentMethods);
    }
}
