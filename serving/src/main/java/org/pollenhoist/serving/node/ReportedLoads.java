package org.pollenhoist.serving.node;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.upstream.LoadSnapshot;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamTable;
import org.pollenhoist.vm.generated.UpstreamUse;

/**
 * Applies reports of the load and the pace of upstreams from other VMs or failure domains. Each report is complete:
 * load on an upstream that a source no longer lists has ended. The cost is proportional to the number of upstreams
 * listed. Confined to the event loop.
 */
final class ReportedLoads {

    /** Receives the load that a source reports for an upstream. */
    interface Sink {

        void put(Upstream upstream, String source, LoadSnapshot load);
    }

    private final UpstreamTable upstreams;
    private final Sink sink;
    private final BiConsumer<Upstream, String> remove;
    private final Map<String, Set<Upstream>> reportedBySource = new HashMap<>();

    ReportedLoads(UpstreamTable upstreams, Sink sink, BiConsumer<Upstream, String> remove) {
        this.upstreams = upstreams;
        this.sink = sink;
        this.remove = remove;
    }

    void update(String source, List<UpstreamUse> uses, MonotonicTime now) {
        Set<Upstream> reported = new HashSet<>();
        for (UpstreamUse use : uses) {
            upstreams.findByTag(use.getUpstreamTag()).ifPresent(upstream -> {
                reported.add(upstream);
                sink.put(
                        upstream,
                        source,
                        new LoadSnapshot(use.getRunning(), use.getUnreadTokens(), use.getReservedTokens(), now));
                DigestCodec.pace(use).ifPresent(pace -> upstream.pace().receive(pace, now));
            });
        }
        Set<Upstream> previous = reportedBySource.put(source, reported);
        if (previous != null) {
            previous.stream()
                    .filter(upstream -> !reported.contains(upstream))
                    .forEach(upstream -> remove.accept(upstream, source));
        }
    }
}
