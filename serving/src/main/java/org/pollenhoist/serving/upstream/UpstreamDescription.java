package org.pollenhoist.serving.upstream;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * The properties of an upstream as registered or reported by itself.
 *
 * @param identifier the identifier of the upstream
 * @param startedMilliseconds when its process started, in Unix milliseconds; distinguishes lifetimes of one identifier
 * @param service the service that it belongs to
 * @param softwareVersion the version of the software that it runs, which is not that of the weights of its models
 * @param address the address that it listens on
 * @param failureDomain the failure domain that it runs in
 * @param slots the number of requests that it processes concurrently
 * @param isLeaving whether it is leaving and accepts no new requests
 * @param orderSequence the number of orders it has accepted
 * @param models the models that it has loaded; empty for plain services
 * @param localCopies the models whose weights it has in memory or on disk
 * @param coldRemaining how much longer it is cold, that is, slow after its start; zero if it is not
 */
public record UpstreamDescription(
        String identifier,
        long startedMilliseconds,
        String service,
        String softwareVersion,
        InetSocketAddress address,
        String failureDomain,
        int slots,
        boolean isLeaving,
        long orderSequence,
        List<HeldModel> models,
        Set<String> localCopies,
        Duration coldRemaining) {

    /** Makes immutable copies of the collections. */
    public UpstreamDescription {
        models = List.copyOf(models);
        localCopies = Set.copyOf(localCopies);
    }

    /**
     * Describes an upstream that is not cold.
     *
     * @param identifier the identifier of the upstream
     * @param startedMilliseconds when its process started, in Unix milliseconds
     * @param service the service that it belongs to
     * @param softwareVersion the version of the software that it runs
     * @param address the address that it listens on
     * @param failureDomain the failure domain that it runs in
     * @param slots the number of requests that it processes concurrently
     * @param isLeaving whether it is leaving and accepts no new requests
     * @param orderSequence the number of orders it has accepted
     * @param models the models that it has loaded; empty for plain services
     * @param localCopies the models whose weights it has in memory or on disk
     */
    public UpstreamDescription(
            String identifier,
            long startedMilliseconds,
            String service,
            String softwareVersion,
            InetSocketAddress address,
            String failureDomain,
            int slots,
            boolean isLeaving,
            long orderSequence,
            List<HeldModel> models,
            Set<String> localCopies) {
        this(
                identifier,
                startedMilliseconds,
                service,
                softwareVersion,
                address,
                failureDomain,
                slots,
                isLeaving,
                orderSequence,
                models,
                localCopies,
                Duration.ZERO);
    }
}
