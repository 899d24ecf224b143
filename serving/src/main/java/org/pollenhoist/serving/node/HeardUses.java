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
 * Takes over the load of upstreams that others tell, each the whole of its own: what one does not name any more has
 * ended. Costs as much as is named. Confined to the event loop.
 */
final class HeardUses {

    /** Where the load from one teller goes. */
    interface Sink {

        void put(Upstream upstream, String teller, LoadSnapshot use);
    }

    private final UpstreamTable upstreams;
    private final Sink sink;
    private final BiConsumer<Upstream, String> forget;
    private final Map<String, Set<Upstream>> namedByTeller = new HashMap<>();

    HeardUses(UpstreamTable upstreams, Sink sink, BiConsumer<Upstream, String> forget) {
        this.upstreams = upstreams;
        this.sink = sink;
        this.forget = forget;
    }

    void hear(String teller, List<UpstreamUse> uses, MonotonicTime now) {
        Set<Upstream> named = new HashSet<>();
        for (UpstreamUse use : uses) {
            upstreams.findByTag(use.getUpstreamTag()).ifPresent(upstream -> {
                named.add(upstream);
                sink.put(
                        upstream,
                        teller,
                        new LoadSnapshot(use.getRunning(), use.getUnreadTokens(), use.getReservedTokens(), now));
            });
        }
        Set<Upstream> before = namedByTeller.put(teller, named);
        if (before != null) {
            before.stream()
                    .filter(upstream -> !named.contains(upstream))
                    .forEach(upstream -> forget.accept(upstream, teller));
        }
    }
}
