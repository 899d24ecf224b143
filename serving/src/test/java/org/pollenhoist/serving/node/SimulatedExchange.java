package org.pollenhoist.serving.node;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.catalog.Team;
import org.pollenhoist.serving.limit.FleetRateLimiter;
import org.pollenhoist.serving.peer.DatagramTransport;
import org.pollenhoist.serving.peer.PeerExchange;
import org.pollenhoist.serving.placement.DemandRates;
import org.pollenhoist.serving.store.StoreEras;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StoreRevision;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamDescription;
import org.pollenhoist.serving.upstream.UpstreamNoticeHandler;
import org.pollenhoist.serving.upstream.UpstreamTable;
import org.pollenhoist.vm.generated.VmDigest;

/** Simulates a fleet whose VMs exchange serialized digests over lossy links, on a simulated clock. */
final class SimulatedExchange {

    private static final int TICK_MILLISECONDS = 50;
    private static final int FULL_MESH_VMS = 24;
    private static final int LINK_DELAY_MILLISECONDS = 1;
    private static final double USUAL_LOSS_RATE = 0.01;
    private static final int SWEEP_MILLISECONDS = 500;
    private static final Duration UPSTREAM_HEARTBEAT = Duration.ofMillis(1_200);
    private static final Duration REPORT_TIMEOUT = PeerExchange.REPORT_TIMEOUT;
    private static final Duration MAX_CURRENT_REPORT_AGE = Duration.ofMillis(750);
    private static final Duration MAX_CURRENT_REPORT_AGE_NEAR_LIMIT = Duration.ofMillis(400);

    private record Event(long at, long number, Runnable action) {}

    /** One VM with the components that take part in the exchange. */
    final class Vm implements DigestExchange.LocalVm {

        final String name;
        final String failureDomain;
        final UpstreamTable upstreams = new UpstreamTable();
        final FleetRateLimiter limits;
        final PeerExchange peers;
        final UpstreamNoticeHandler notices;
        final DigestExchange digests;
        final CrashTracking crashes;
        final StreamTracking streams;
        final RateShares rateShares;
        final StoreEras eras = new StoreEras();
        final int index;
        boolean isAlive = true;
        boolean isFrozen;
        boolean isCutFromStore;
        boolean hasListed;
        boolean isCutFromPeers;
        private final List<Runnable> waitingWhileFrozen = new ArrayList<>();
        private Optional<MonotonicTime> storeKnownAsOf = Optional.empty();
        int linkMegabits;
        long datagrams;
        long bytes;
        private final InetSocketAddress address;
        private final DigestCodec codec;
        private Set<String> storedKeys = Set.of();

        private Vm(int index, String failureDomain, long incarnation, boolean isFirstStart) {
            this.index = index;
            this.name = "frontend-" + failureDomain + "-" + index;
            this.failureDomain = failureDomain;
            this.address = addressOf(index);
            this.codec = new DigestCodec(name, failureDomain, incarnation, 0);
            this.limits = new FleetRateLimiter(true, () -> vms.size(), this::announceSpending);
            this.crashes = new CrashTracking(
                    name,
                    SimulatedExchange.this::now,
                    upstreams,
                    UPSTREAM_HEARTBEAT,
                    store,
                    new PrometheusRegistry(),
                    this::announceCrashes);
            this.notices = new UpstreamNoticeHandler(upstreams, upstream -> announceUpstreamNews());
            DatagramTransport transport = this::transmit;
            this.peers = new PeerExchange(
                    transport, SimulatedExchange.this::now, name, report -> receive(report), this::receiveStreams);
            this.digests = new DigestExchange(
                    (delay, action) -> after(delay.toMillis(), () -> runWhenAwake(action)),
                    SimulatedExchange.this::now,
                    peers,
                    upstreams,
                    notices,
                    limits,
                    new DemandRates(),
                    crashes,
                    this);
            this.streams = new StreamTracking(
                    name,
                    incarnation,
                    (delay, action) -> after(delay.toMillis(), () -> runWhenAwake(action)),
                    SimulatedExchange.this::now,
                    isFirstStart,
                    upstreams,
                    peers,
                    new SimulatedStoreAccess(
                            store, () -> isCutFromStore, (delay, action) -> after(delay, () -> runWhenAwake(action))),
                    eras,
                    () -> storeKnownAsOf,
                    () -> {});
            eras.onChange(() -> storeKnownAsOf = Optional.empty());
            this.rateShares = new RateShares(name, failureDomain, upstreams, peers, digests);
        }

        /** Runs an action on this VM: at once, or when it wakes up. */
        void runWhenAwake(Runnable action) {
            if (isFrozen) {
                waitingWhileFrozen.add(action);
            } else if (isAlive) {
                action.run();
            }
        }

        /** Stops the VM while a response of the store is on its way. */
        void freeze() {
            isFrozen = true;
            MonotonicTime sentAt = now();
            Map<String, StoreItem> response = storedItems();
            long era = store.era();
            waitingWhileFrozen.add(() -> applyStore(era, response, sentAt));
        }

        /** Lets the VM go on; what has waited in its sockets meanwhile is read in any order. */
        void thaw() {
            isFrozen = false;
            List<Runnable> waiting = new ArrayList<>(waitingWhileFrozen);
            waitingWhileFrozen.clear();
            java.util.Collections.shuffle(waiting, random);
            waiting.forEach(this::runWhenAwake);
        }

        private void receive(org.pollenhoist.serving.peer.PeerReport report) {
            digests.receive(report);
        }

        private void receiveStreams(VmDigest datagram) {
            streams.receive(datagram);
        }

        private void announceSpending() {
            digests.announceSpending();
        }

        private void announceCrashes() {
            digests.announceCrashes();
        }

        private void announceUpstreamNews() {
            digests.announceUpstreamNews();
        }

        private void transmit(byte[] sent, List<InetSocketAddress> receivers) {
            datagrams += receivers.size();
            bytes += (long) sent.length * receivers.size();
            for (InetSocketAddress receiver : receivers) {
                Vm to = vms.get(receiver.getPort() - 1);
                boolean isCut = isCutFromPeers || to.isCutFromPeers || isPartitioned(this, to);
                if (random.nextDouble() >= lossRate && !isCut) {
                    deliver(sent, to.index);
                    if (duplicationRate > 0 && random.nextDouble() < duplicationRate) {
                        deliver(sent, to.index);
                    }
                }
            }
        }

        private void deliver(byte[] sent, int receiver) {
            int extraDelay = maximumExtraDelayMilliseconds == 0 ? 0 : random.nextInt(maximumExtraDelayMilliseconds);
            after(LINK_DELAY_MILLISECONDS + extraDelay, () -> {
                Vm to = vms.get(receiver);
                to.runWhenAwake(() -> to.peers.receive(sent, address));
            });
        }

        private void tick() {
            if (isAlive && !isFrozen) {
                limits.setReachableFraction(reportingFraction(REPORT_TIMEOUT), now());
                limits.setRecentlyReportedFraction(
                        reportingFraction(
                                limits.isNearLimit(now()) ? MAX_CURRENT_REPORT_AGE_NEAR_LIMIT : MAX_CURRENT_REPORT_AGE),
                        now());
                rateShares.update(false, now());
                crashes.announceDue(now());
                streams.tick(now());
                digests.tick(now());
            }
        }

        private void sweep() {
            if (isAlive && !isFrozen) {
                if (!isCutFromStore) {
                    readStore();
                }
                crashes.tick(!isCutFromStore, index, now());
                streams.sweep(!isCutFromStore, index, now());
            }
        }

        private void readStore() {
            applyStore(store.era(), storedItems(), now());
        }

        private Map<String, StoreItem> storedItems() {
            Map<String, StoreItem> stored = new HashMap<>();
            store.items.forEach((key, value) -> stored.put(
                    key, new StoreItem(key, value, new StoreRevision(store.era(), store.revisionOf(key)), false)));
            return stored;
        }

        private void applyStore(long era, Map<String, StoreItem> stored, MonotonicTime sentAt) {
            if (!eras.observe(era, "store")) {
                return;
            }
            stored.values().stream()
                    .filter(item -> !hasListed || isFollower() || !StreamRecords.isRecord(item.key()))
                    .forEach(this::apply);
            hasListed = true;
            storedKeys.stream().filter(key -> !stored.containsKey(key)).forEach(this::remove);
            storedKeys = Set.copyOf(stored.keySet());
            if (isFollower()) {
                storeKnownAsOf = Optional.of(sentAt);
            }
        }

        /** Returns whether this VM watches the store itself; the others hear of its contents from their domain. */
        private boolean isFollower() {
            long before = vms.stream()
                    .filter(vm -> vm.failureDomain.equals(failureDomain) && vm.index < index)
                    .count();
            return vms.size() <= FULL_MESH_VMS || before < StoreFollowers.FOLLOWERS_PER_DOMAIN;
        }

        private void apply(StoreItem item) {
            if (!streams.onWritten(item, now())) {
                crashes.onWritten(item, now());
            }
        }

        private void remove(String key) {
            if (!streams.onRemoved(key)) {
                crashes.onRemoved(key);
            }
        }

        private double reportingFraction(Duration within) {
            return Math.min(1.0, (double) digests.countReportingVms(within, now()) / vms.size());
        }

        @Override
        public VmDigest createDigest(long sequence, boolean hasDemand, Collection<Upstream> engines, MonotonicTime at) {
            return codec
                    .write(
                            sequence,
                            StoreRevision.withoutEra(1),
                            false,
                            limits.report(at),
                            upstreams.all(),
                            Optional.empty(),
                            List.of(),
                            false,
                            false,
                            true,
                            engines,
                            Optional.empty(),
                            0,
                            crashes,
                            at)
                    .toBuilder()
                    .setLinkMegabits(linkMegabits)
                    .build();
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
        public int linkMegabits() {
            return linkMegabits;
        }

        @Override
        public Collection<Upstream> engines() {
            return upstreams.all();
        }

        @Override
        public boolean isSendingOrders(MonotonicTime at) {
            return false;
        }

        @Override
        public boolean hasUrgentNotices(MonotonicTime at) {
            return crashes.hasNews(at);
        }

        @Override
        public void onResidentModelsChanged(MonotonicTime at) {
            // The simulation has no queued requests.
        }

        @Override
        public void onPeerModelRequests(MonotonicTime at) {
            // The simulation has no placement leader.
        }
    }

    final List<Vm> vms = new ArrayList<>();
    final InMemoryStore store = new InMemoryStore();
    private final List<Team> teams;
    private final List<UpstreamDescription> upstreams = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(java.util.Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final Random random;
    private Set<String> partitionedDomains = Set.of();
    private Set<String> missingInStore = Set.of();
    private boolean isStoreDown;
    private double lossRate = USUAL_LOSS_RATE;
    private double duplicationRate;
    private int maximumExtraDelayMilliseconds;
    private long milliseconds = 1_000_000;
    private long nextNumber;

    SimulatedExchange(int size, int domains, int upstreamCount, List<Team> teams, long seed) {
        this.random = new Random(seed);
        this.teams = teams;
        for (int index = 0; index < upstreamCount; index++) {
            upstreams.add(upstream(index, domains));
        }
        for (int index = 0; index < size; index++) {
            vms.add(new Vm(index, "domain-" + index % domains, index + 1L, true));
        }
        vms.forEach(this::begin);
    }

    private void begin(Vm vm) {
        vms.forEach(peer -> vm.peers.putPeer(peer.name, peer.address, peer.failureDomain));
        vm.limits.configure(teams, now());
        upstreams.stream()
                .filter(upstream -> !missingInStore.contains(upstream.identifier()))
                .forEach(upstream -> vm.upstreams.put(upstream, now()));
        after(random.nextInt(TICK_MILLISECONDS), () -> tickForever(vm));
        after(vm.index % SWEEP_MILLISECONDS, () -> sweepForever(vm));
    }

    /** Kills a VM; a new process takes its place after the given time and reads the store before anything else. */
    void restart(int index, long downMilliseconds) {
        Vm killed = vms.get(index);
        killed.isAlive = false;
        after(downMilliseconds, () -> {
            Vm started = new Vm(index, killed.failureDomain, random.nextLong(), false);
            vms.set(index, started);
            started.isCutFromStore = isStoreDown;
            if (!isStoreDown) {
                started.readStore();
            }
            begin(started);
        });
    }

    /** Sets how unreliable the links are. */
    void degradeLinks(double loss, double duplication, int extraDelayMilliseconds) {
        lossRate = loss;
        duplicationRate = duplication;
        maximumExtraDelayMilliseconds = extraDelayMilliseconds;
    }

    /** Replaces a lifetime of an upstream by the next one on all VMs. */
    void replaceUpstream(UpstreamDescription next) {
        upstreams.replaceAll(known -> known.identifier().equals(next.identifier()) ? next : known);
        vms.forEach(vm -> vm.upstreams.put(next, now()));
    }

    /** Registers further upstreams on all VMs. */
    void addUpstreams(List<UpstreamDescription> added) {
        upstreams.addAll(added);
        added.forEach(upstream -> vms.forEach(vm -> vm.upstreams.put(upstream, now())));
    }

    /** Cuts all VMs off from the store, also those that start, or lets them reach it again. */
    void setStoreDown(boolean isDown) {
        isStoreDown = isDown;
        vms.forEach(vm -> vm.isCutFromStore = isDown);
    }

    /**
     * Lets the store come back from a copy. Upstreams that have registered since write their entries again after a
     * while; until then only VMs that knew them before know them.
     */
    void comeBackFrom(InMemoryStore.Copy copy, Set<String> registeredSince, long absentMilliseconds) {
        store.comeBackFrom(copy);
        missingInStore = registeredSince;
        after(absentMilliseconds, () -> {
            missingInStore = Set.of();
            upstreams.forEach(upstream -> vms.forEach(vm -> vm.upstreams.put(upstream, now())));
        });
    }

    /** Removes an upstream on all VMs. */
    void removeUpstream(String identifier) {
        upstreams.removeIf(known -> known.identifier().equals(identifier));
        vms.forEach(vm -> vm.upstreams.remove(identifier, "left", now()));
    }

    List<UpstreamDescription> upstreams() {
        return upstreams;
    }

    /** Returns the address of a VM, whose port gives its index. */
    static InetSocketAddress addressOf(int index) {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(new byte[] {10, 0, 0, 1}), index + 1);
        } catch (UnknownHostException unexpected) {
            throw new IllegalStateException(unexpected);
        }
    }

    private static UpstreamDescription upstream(int index, int domains) {
        return new UpstreamDescription(
                "i-%08x".formatted(index),
                1,
                "engines",
                "v1",
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

    private void sweepForever(Vm vm) {
        vm.sweep();
        if (vm.isAlive) {
            after(SWEEP_MILLISECONDS, () -> sweepForever(vm));
        }
    }

    private boolean isPartitioned(Vm from, Vm to) {
        return !from.failureDomain.equals(to.failureDomain)
                && (partitionedDomains.contains(from.failureDomain) || partitionedDomains.contains(to.failureDomain));
    }

    /** Partitions the given failure domains from all others, and heals previous partitions. */
    void partition(Set<String> domains) {
        partitionedDomains = domains;
    }

    MonotonicTime now() {
        return MonotonicTime.of(Duration.ofMillis(milliseconds));
    }

    Random random() {
        return random;
    }

    void after(long delayMilliseconds, Runnable action) {
        events.add(new Event(milliseconds + delayMilliseconds, nextNumber++, action));
    }

    void run(long durationMilliseconds) {
        long end = milliseconds + durationMilliseconds;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            milliseconds = event.at();
            event.action().run();
        }
        milliseconds = end;
    }
}
