package org.pollenhoist.serving.node;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.VmName;
import org.pollenhoist.request.CrashQuarantine;
import org.pollenhoist.serving.catalog.Team;
import org.pollenhoist.serving.limit.FleetRateLimiter;
import org.pollenhoist.serving.peer.DatagramWire;
import org.pollenhoist.serving.peer.PeerExchange;
import org.pollenhoist.serving.placement.DemandRates;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamDescription;
import org.pollenhoist.serving.upstream.UpstreamNoticeHandler;
import org.pollenhoist.serving.upstream.UpstreamTable;
import org.pollenhoist.vm.generated.VmDigest;

/** A fleet whose VMs exchange digests, with their true bytes, over links that lose some, on a simulated clock. */
final class SimulatedExchange {

    private static final int TICK_MILLISECONDS = 50;
    private static final int DELAY_MILLISECONDS = 1;
    private static final double LOST_PART = 0.01;
    private static final Duration HEARD_FOR = PeerExchange.HEARD_FOR;
    private static final Duration CURRENT = Duration.ofMillis(750);
    private static final Duration CURRENT_UNDER_PRESSURE = Duration.ofMillis(400);

    private record Event(long at, long number, Runnable action) {}

    /** One VM with what takes part in the exchange. */
    final class Vm implements DigestExchange.Parts {

        final String name;
        final String failureDomain;
        final UpstreamTable upstreams = new UpstreamTable();
        final FleetRateLimiter limits;
        final PeerExchange peers;
        final DigestExchange digests;
        boolean isAlive = true;
        long datagrams;
        long bytes;
        private final InetSocketAddress address;
        private final DigestWriter writer;

        private Vm(int index, String failureDomain) {
            this.name = "frontend-" + failureDomain + "-" + index;
            this.failureDomain = failureDomain;
            this.address = addressOf(index);
            this.writer = new DigestWriter(name, failureDomain, index + 1L);
            this.limits = new FleetRateLimiter(true, () -> vms.size(), this::announceSpending);
            DatagramWire wire = this::carry;
            this.peers = new PeerExchange(wire, SimulatedExchange.this::now, name, report -> hear(report));
            this.digests = new DigestExchange(
                    (delay, action) -> after(delay.toMillis(), () -> {
                        if (isAlive) {
                            action.run();
                        }
                    }),
                    SimulatedExchange.this::now,
                    peers,
                    upstreams,
                    new UpstreamNoticeHandler(upstreams, upstream -> announceLeaving()),
                    limits,
                    new DemandRates(),
                    new CrashQuarantine(VmName.of(name), notice -> {}),
                    this);
        }

        private void hear(org.pollenhoist.serving.peer.PeerReport report) {
            digests.hear(report);
        }

        private void announceSpending() {
            digests.announceSpending();
        }

        private void announceLeaving() {
            digests.announceLeaving();
        }

        private void carry(byte[] sent, List<InetSocketAddress> receivers) {
            datagrams += receivers.size();
            bytes += (long) sent.length * receivers.size();
            for (InetSocketAddress receiver : receivers) {
                Vm to = vms.get(receiver.getPort() - 1);
                if (random.nextDouble() >= LOST_PART && !isCut(this, to)) {
                    after(DELAY_MILLISECONDS, () -> {
                        if (to.isAlive) {
                            to.peers.receive(sent, address);
                        }
                    });
                }
            }
        }

        private void tick() {
            if (isAlive) {
                limits.setReachableFraction(part(HEARD_FOR), now());
                limits.setRecentlyReportedFraction(part(limits.isNearLimit(now()) ? CURRENT_UNDER_PRESSURE : CURRENT), now());
                digests.tick(now());
            }
        }

        private double part(Duration within) {
            return Math.min(1.0, (double) digests.countHeard(within, now()) / vms.size());
        }

        @Override
        public VmDigest describe(long sequence, boolean hasDemand, Collection<Upstream> engines, MonotonicTime at) {
            return writer.write(
                    sequence,
                    1,
                    false,
                    limits.report(at),
                    upstreams.all(),
                    Optional.empty(),
                    List.of(),
                    false,
                    false,
                    engines,
                    List.of(),
                    Optional.empty(),
                    at);
        }

        @Override
        public String vmName() {
            return name;
        }

        @Override
        public String failureDomain() {
            return failureDomain;
        }

        @Override
        public Collection<Upstream> engines() {
            return upstreams.all();
        }

        @Override
        public boolean isOrdering(MonotonicTime at) {
            return false;
        }

        @Override
        public boolean hasNewsForAll(MonotonicTime at) {
            return false;
        }

        @Override
        public void onHoldings(MonotonicTime at) {
            // Nothing waits here.
        }

        @Override
        public void onWants(MonotonicTime at) {
            // No VM orders here.
        }
    }

    final List<Vm> vms = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(java.util.Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final Random random;
    private Set<String> cutDomains = Set.of();
    private long milliseconds = 1_000_000;
    private long nextNumber;

    SimulatedExchange(int size, int domains, int upstreams, List<Team> teams, long seed) {
        random = new Random(seed);
        for (int index = 0; index < size; index++) {
            vms.add(new Vm(index, "domain-" + index % domains));
        }
        for (Vm vm : vms) {
            vms.forEach(peer -> vm.peers.putPeer(peer.name, peer.address, peer.failureDomain));
            vm.limits.configure(teams, now());
            for (int index = 0; index < upstreams; index++) {
                vm.upstreams.put(upstream(index, domains), now());
            }
            after(random.nextInt(TICK_MILLISECONDS), () -> tickForever(vm));
        }
    }

    private static InetSocketAddress addressOf(int index) {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(new byte[] {10, 0, 0, 1}), index + 1);
        } catch (UnknownHostException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private static UpstreamDescription upstream(int index, int domains) {
        return new UpstreamDescription(
                "i-%08x".formatted(index),
                1,
                "engines",
                new InetSocketAddress(1),
                "domain-" + index % domains,
                64,
                false,
                0,
                List.of(),
                Set.of());
    }

    private void tickForever(Vm vm) {
        vm.tick();
        after(TICK_MILLISECONDS, () -> tickForever(vm));
    }

    private boolean isCut(Vm from, Vm to) {
        return !from.failureDomain.equals(to.failureDomain)
                && (cutDomains.contains(from.failureDomain) || cutDomains.contains(to.failureDomain));
    }

    /** Cuts failure domains off from all others. */
    void cut(Set<String> domains) {
        cutDomains = domains;
    }

    MonotonicTime now() {
        return MonotonicTime.of(Duration.ofMillis(milliseconds));
    }

    Random random() {
        return random;
    }

    void after(long delay, Runnable action) {
        events.add(new Event(milliseconds + delay, nextNumber++, action));
    }

    void run(long length) {
        long end = milliseconds + length;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            milliseconds = event.at();
            event.action().run();
        }
        milliseconds = end;
    }
}
