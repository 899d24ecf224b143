package org.pollenhoist.serving.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.pollenhoist.serving.http.BufferedHttpClient;

/** Counts who asks whom for relays in a simulated fleet, and what becomes of it. */
final class RelayTraffic {

    private final Map<String, Long> askedOf = new HashMap<>();
    private final Map<String, List<SimulatedCall<?>>> serving = new HashMap<>();
    private long relays;
    private long toOtherDomains;
    private long whole;
    private long mostAtOnce;

    /** Records that a VM begins to relay. */
    void begin(StoreFleet.Vm asking, StoreFleet.Vm asked, SimulatedCall<?> call) {
        relays++;
        toOtherDomains += asking.failureDomain.equals(asked.failureDomain) ? 0 : 1;
        askedOf.merge(asked.name, 1L, Long::sum);
        List<SimulatedCall<?>> served = serving.computeIfAbsent(asked.name, name -> new ArrayList<>());
        served.removeIf(SimulatedCall::isComplete);
        served.add(call);
        mostAtOnce = Math.max(mostAtOnce, served.size());
    }

    /** Records the end of a call. */
    void end(BufferedHttpClient.Result result) {
        whole += result instanceof BufferedHttpClient.Result.Answered ? 1 : 0;
    }

    @Override
    public String toString() {
        long mostAsked =
                askedOf.values().stream().mapToLong(Long::longValue).max().orElse(0);
        return "%d relays begun, %d whole, %d to other domains, at most %d of one VM and %d of one VM at once"
                .formatted(relays, whole, toOtherDomains, mostAsked, mostAtOnce);
    }
}
