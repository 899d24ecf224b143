package org.pollenhoist.serving.stream;

import org.pollenhoist.routing.Rendezvous;

/**
 * Identifies a stream by the request that brought its first event. Equal for requests with the same identifier of the
 * same team only, except for collisions, which are very unlikely.
 *
 * @param hash a hash of the team and the request's identifier
 */
public record StreamKey(long hash) {

    /**
     * Returns the key of a stream.
     *
     * @param team the team whose request it is, empty if the route needs no key
     * @param requestIdentifier the caller's identifier of the request
     * @return the key
     */
    public static StreamKey of(String team, String requestIdentifier) {
        return new StreamKey(Rendezvous.hash(team + '\n' + requestIdentifier));
    }
}
