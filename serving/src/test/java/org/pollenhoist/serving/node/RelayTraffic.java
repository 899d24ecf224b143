package org.pollenhoist.serving.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.pollenhoist.serving.http.BufferedHttpClient;

/** Counts who asks whom for relays in a simulated fleet, and what becomes of it. */
final class RelayTraffic {

    private static final int OK = 200;

    private final Map<String, Long> askedOf = new HashMap<>();
    private final Map<String, List<SimulatedCall<?>>> serving = new HashMap<>();
    private long relays;
    private long toOtherDomains;
    private long whole;
    private long refused;
    private long givenUp;
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
        switch (result) {
            case BufferedHttpClient.Result.Answered answered when answered.status() == OK -> whole++;
            case BufferedHttpClient.Result.Answered answered -> refused++;
            case BufferedHttpClient.Result.Failed failed -> givenUp++;
        }
    }

    @Override
    public String toString() {
        long mostAsked =
                askedOf.values().stream().mapToLong(Long::longValue).max().orElse(0);
        return "%d relays begun, %d whole, %d given up, %d refused, %d to other domains, most of one VM %d, at once %d"
                .formatted(relays, whole, givenUp, refused, toOtherDomains, mostAsked, mostAtOnce);
    }
}
