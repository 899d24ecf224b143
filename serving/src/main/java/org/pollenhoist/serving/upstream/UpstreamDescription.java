package org.pollenhoist.serving.upstream;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;

/**
 * What an upstream says of itself.
 *
 * @param identifier its identifier
 * @param startedMilliseconds when its process started, in Unix milliseconds; tells lifetimes of one identifier apart
 * @param service the service it belongs to
 * @param address where it listens
 * @param failureDomain where it runs
 * @param slots requests that it runs at once
 * @param isLeaving whether it takes no new work
 * @param orderSequence the number of orders it has accepted
 * @param models the models it holds; empty for plain services
 * @param localCopies models whose weights it has in memory or on disk
 */
public record UpstreamDescription(
        String identifier,
        long startedMilliseconds,
        String service,
        InetSocketAddress address,
        String failureDomain,
        int slots,
        boolean isLeaving,
        long orderSequence,
        List<ResidentModel> models,
        Set<String> localCopies) {

    /** Copies the collections. */
    public UpstreamDescription {
        models = List.copyOf(models);
        localCopies = Set.copyOf(localCopies);
    }
}
