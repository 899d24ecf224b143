package org.pollenhoist.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.common.VmName;
import org.pollenhoist.configuration.Upstream;

/**
 * Decides which engines a VM asks for their load in a round.
 *
 * <p>Each engine is asked by one VM of its failure domain, which tells the others. Where no VM of that domain is
 * reachable, the reachable ones divide its engines among them. An engine of which nothing was heard for long is asked
 * directly as well, since the VM that should ask it may be cut off from it.
 *
 * @param self this VM
 * @param vms the VMs that are up as far as is known, {@code self} included, with their failure domains
 */
public record PollingPlan(VmName self, Map<VmName, FailureDomain> vms) {

    private static final Duration STALE = Duration.ofSeconds(3);

    /** Copies the VMs. */
    public PollingPlan {
        vms = Map.copyOf(vms);
    }

    /**
     * Returns the engines to ask now.
     *
     * @param engines all engines
     * @param lastHeard when a report of each engine last came, directly or from a peer
     * @param now the present time
     * @return those that this VM asks
     */
    public List<Upstream> toPoll(
            Collection<Upstream> engines, Map<UpstreamName, MonotonicTime> lastHeard, MonotonicTime now) {
        Map<FailureDomain, List<Upstream>> byDomain = engines.stream()
                .collect(Collectors.groupingBy(Upstream::failureDomain, TreeMap::new, Collectors.toList()));
        List<Upstream> chosen = new ArrayList<>();
        byDomain.forEach((domain, members) -> {
            Collection<UpstreamName> names =
                    members.stream().map(Upstream::name).toList();
            Collection<UpstreamName> assigned = PollerAssignment.assignedTo(self, pollers(domain), names);
            members.stream()
                    .filter(engine -> assigned.contains(engine.name()) || isStale(lastHeard.get(engine.name()), now))
                    .forEach(chosen::add);
        });
        return chosen;
    }

    private Collection<VmName> pollers(FailureDomain domain) {
        List<VmName> local = vms.entrySet().stream()
                .filter(vm -> vm.getValue().equals(domain))
                .map(Map.Entry::getKey)
                .toList();
        return local.isEmpty() ? vms.keySet() : local;
    }

    private static boolean isStale(MonotonicTime heard, MonotonicTime now) {
        return heard == null || now.since(heard).compareTo(STALE) > 0;
    }
}
