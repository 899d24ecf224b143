package org.pollenhoist.experiments.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.VmName;
import org.pollenhoist.configuration.ConfigurationPeer;
import org.pollenhoist.configuration.PeerFrame;
import org.pollenhoist.vm.generated.Frame;

/**
 * A fleet of VMs in failure domains around one store, in simulated time. Whole domains can be cut off from each other
 * and from the platform, messages get lost and VMs restart without their memory.
 */
final class SimulatedFleet {

    private static final long STEP_MILLISECONDS = 25;
    private static final long LEAST_DELAY_MILLISECONDS = 1;
    private static final long DELAY_SPREAD_MILLISECONDS = 5;
    private static final int FRAME_HEADER_BYTES = 4;

    /** Bytes of the headers of TCP, IP and Ethernet around each message, which travels by itself. */
    private static final int NETWORK_HEADER_BYTES = 66;

    /**
     * How a fleet is made up.
     *
     * @param domains how many failure domains
     * @param vms how many VMs
     * @param watchersPerDomain how many VMs of each domain watch the platform
     * @param staleReads which part of the reads is answered from before
     * @param lostMessages which part of the messages between VMs is lost
     * @param areRefusalsStale whether refused writes name a version from before, which no real store does
     */
    record Shape(
            int domains,
            int vms,
            int watchersPerDomain,
            double staleReads,
            double lostMessages,
            boolean areRefusalsStale) {

        static Shape of(int domains, int vms, int watchersPerDomain) {
            return new Shape(domains, vms, watchersPerDomain, 0, 0, false);
        }
    }

    private record Delivery(long time, long order, SimulatedVm from, SimulatedVm to, Frame frame) {}

    private final Shape shape;
    private final Random random;
    private final SimulatedStore store = new SimulatedStore();
    private final Map<VmName, SimulatedVm> vms = new TreeMap<>();
    private final PriorityQueue<Delivery> deliveries =
            new PriorityQueue<>(Comparator.comparingLong(Delivery::time).thenComparingLong(Delivery::order));
    private final Set<Set<FailureDomain>> cutPairs = new HashSet<>();
    private final Set<FailureDomain> cutFromPlatform = new HashSet<>();
    private final Map<VmName, Long> bytesSent = new HashMap<>();
    private long milliseconds;
    private long messages;
    private long retiredCalls;

    SimulatedFleet(Shape shape, long seed) {
        this.shape = shape;
        this.random = new Random(seed);
        for (int index = 0; index < shape.vms(); index++) {
            start(new ConfigurationPeer(VmName.of("entry-" + (index + 1)), domain(index % shape.domains())));
        }
        connectAll();
    }

    static FailureDomain domain(int index) {
        return FailureDomain.of("domain-" + (index + 1));
    }

    private void start(ConfigurationPeer peer) {
        SimulatedStore.Client client = store.client(random, shape.staleReads(), shape.areRefusalsStale());
        client.setCut(cutFromPlatform.contains(peer.failureDomain()));
        vms.put(peer.name(), new SimulatedVm(peer, shape.watchersPerDomain(), store, client, random, milliseconds));
    }

    SimulatedStore store() {
        return store;
    }

    Collection<SimulatedVm> vms() {
        return vms.values();
    }

    MonotonicTime now() {
        return MonotonicTime.of(Duration.ofMillis(milliseconds));
    }

    long milliseconds() {
        return milliseconds;
    }

    /** Replaces a VM by a fresh one of the same name, which knows nothing. */
    SimulatedVm restart(VmName name) {
        SimulatedVm former = vms.remove(name);
        retiredCalls += former.client().calls();
        connectAll();
        start(former.self());
        connectAll();
        return vms.get(name);
    }

    void cutFromPlatform(FailureDomain domain, boolean cut) {
        if (cut) {
            cutFromPlatform.add(domain);
        } else {
            cutFromPlatform.remove(domain);
        }
        vms.values()
                .forEach(vm ->
                        vm.client().setCut(cutFromPlatform.contains(vm.self().failureDomain())));
    }

    void cut(FailureDomain one, FailureDomain other, boolean cut) {
        if (cut) {
            cutPairs.add(Set.of(one, other));
        } else {
            cutPairs.remove(Set.of(one, other));
        }
        connectAll();
    }

    void healAll() {
        cutPairs.clear();
        cutFromPlatform.clear();
        vms.values().forEach(vm -> vm.client().setCut(false));
        connectAll();
    }

    private boolean canReach(SimulatedVm one, SimulatedVm other) {
        FailureDomain first = one.self().failureDomain();
        FailureDomain second = other.self().failureDomain();
        return first.equals(second) || !cutPairs.contains(Set.of(first, second));
    }

    /** In a domain all are connected; across domains too, since the simulated fleet is measured by its messages. */
    private void connectAll() {
        for (SimulatedVm vm : vms.values()) {
            List<ConfigurationPeer> connected = vms.values().stream()
                    .filter(other -> canReach(vm, other))
                    .map(SimulatedVm::self)
                    .toList();
            send(vm, vm.spread().peersChanged(connected, now()));
        }
    }

    /** Lets simulated time pass. */
    void run(long duration) {
        for (long end = milliseconds + duration; milliseconds < end; milliseconds += STEP_MILLISECONDS) {
            deliver();
            for (SimulatedVm vm : vms.values()) {
                send(vm, vm.step(milliseconds, now()));
            }
        }
    }

    private void deliver() {
        while (!deliveries.isEmpty() && deliveries.peek().time() <= milliseconds) {
            Delivery delivery = deliveries.poll();
            SimulatedVm receiver = delivery.to();
            boolean isThere = vms.get(receiver.self().name()) == receiver;
            if (isThere && canReach(delivery.from(), receiver)) {
                send(receiver, receiver.receive(delivery.from().self(), delivery.frame(), now()));
            }
        }
    }

    private void send(SimulatedVm from, List<PeerFrame> frames) {
        for (PeerFrame frame : frames) {
            SimulatedVm to = vms.get(frame.to());
            messages++;
            bytesSent.merge(
                    from.self().name(),
                    (long) frame.frame().getSerializedSize() + FRAME_HEADER_BYTES + NETWORK_HEADER_BYTES,
                    Long::sum);
            boolean isLost = random.nextDouble() < shape.lostMessages();
            if (to != null && !isLost && canReach(from, to)) {
                long delay = LEAST_DELAY_MILLISECONDS + random.nextLong(DELAY_SPREAD_MILLISECONDS);
                deliveries.add(new Delivery(milliseconds + delay, messages, from, to, frame.frame()));
            }
        }
    }

    /** Runs until all VMs have a revision; returns the milliseconds that it took, or the patience where it did not. */
    long runUntilInForce(long revision, long patience) {
        long start = milliseconds;
        while (!isInForce(revision) && milliseconds - start < patience) {
            run(STEP_MILLISECONDS);
        }
        return milliseconds - start;
    }

    boolean isInForce(long revision) {
        return vms.values().stream().allMatch(vm -> vm.revision() >= revision);
    }

    long platformCalls() {
        return retiredCalls
                + vms.values().stream().mapToLong(vm -> vm.client().calls()).sum();
    }

    long platformBytes() {
        return vms.values().stream().mapToLong(vm -> vm.client().bytes()).sum();
    }

    long messages() {
        return messages;
    }

    long peerBytes() {
        return bytesSent.values().stream().mapToLong(Long::longValue).sum();
    }

    /** The most bytes that one VM has sent to peers. */
    long mostPeerBytes() {
        return new ArrayList<>(bytesSent.values())
                .stream().mapToLong(Long::longValue).max().orElse(0);
    }
}
