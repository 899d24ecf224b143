package org.pollenhoist.serving.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.peer.PeerReport;
import org.pollenhoist.serving.store.StoreRevision;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamTable;
import org.pollenhoist.vm.generated.UpstreamLifetime;
import org.pollenhoist.vm.generated.VmDigest;

/**
 * Takes upstreams out of use whose entries in the store, as peers say that know a later revision of it than this VM,
 * say that they leave or are gone. Such news is small and comes with each digest; the store's history brings it only
 * after all that was written before. Confined to the event loop.
 *
 * <p>The store's own news takes precedence: once this VM knows the store up to the revision of such a digest, the
 * upstream is in use or not as its entry says. So an entry that was removed and written again counts, and what this VM
 * was told is passed on to nobody.
 */
final class ReportedDepartures {

    /**
     * How long a departure counts that no peer tells any more, at a VM that remains behind. An upstream serves for a
     * few seconds after it; the limit ends a report that a store without eras never lets this VM catch up with.
     */
    static final Duration MAXIMUM_AGE = Duration.ofSeconds(10);

    private static final DecisionLog LOG = DecisionLog.of("upstream");

    private record Report(StoreRevision revision, MonotonicTime heardAt) {}

    private final UpstreamTable upstreams;
    private final Supplier<StoreRevision> storeRevision;
    private final Map<Upstream, Report> reports = new HashMap<>();

    /**
     * Creates an instance that has heard of no departure.
     *
     * @param upstreams the upstreams
     * @param storeRevision the revision up to which this VM knows the store
     */
    ReportedDepartures(UpstreamTable upstreams, Supplier<StoreRevision> storeRevision) {
        this.upstreams = upstreams;
        this.storeRevision = storeRevision;
    }

    /**
     * Applies the departures that a peer's digest tells, if the peer knows a later revision of the store.
     *
     * @param report the digest and when it was received
     */
    void receive(PeerReport report) {
        VmDigest digest = report.digest();
        if (!DigestCodec.storeRevision(digest).isAfter(storeRevision.get())) {
            return;
        }
        for (UpstreamLifetime lifetime : digest.getDepartedUpstreamsList()) {
            upstreams
                    .find(lifetime.getUpstream())
                    .filter(known -> known.description().startedMilliseconds() == lifetime.getStartedMilliseconds())
                    .ifPresent(upstream -> receive(upstream, digest, report.receivedAt()));
        }
    }

    private void receive(Upstream upstream, VmDigest digest, MonotonicTime now) {
        StoreRevision revision = DigestCodec.storeRevision(digest);
        Report known = reports.get(upstream);
        if (known == null) {
            upstreams.setDepartureReported(upstream, true);
            LOG.event(
                    "upstream_departed_elsewhere",
                    "upstream",
                    upstream.description().identifier(),
                    "peer",
                    digest.getVmName(),
                    "peer_revision",
                    revision,
                    "revision",
                    storeRevision.get());
        }
        boolean isEarlier = known != null && revision.isAfter(known.revision());
        reports.put(upstream, new Report(isEarlier ? known.revision() : revision, now));
    }

    /**
     * Ends the reports that the store's own news has overtaken, or that are too old.
     *
     * @param now the current time
     */
    void update(MonotonicTime now) {
        reports.entrySet().removeIf(entry -> {
            boolean isOvertaken = !entry.getValue().revision().isAfter(storeRevision.get());
            boolean isOld = now.since(entry.getValue().heardAt()).compareTo(MAXIMUM_AGE) >= 0;
            if (isOvertaken || isOld) {
                end(entry.getKey(), isOvertaken ? "known" : "not_told");
            }
            return isOvertaken || isOld;
        });
    }

    private void end(Upstream upstream, String reason) {
        upstreams.setDepartureReported(upstream, false);
        LOG.event(
                "upstream_departure_settled",
                "upstream",
                upstream.description().identifier(),
                "reason",
                reason,
                "usable",
                upstreams.isUsable(upstream),
                "revision",
                storeRevision.get());
    }
}
