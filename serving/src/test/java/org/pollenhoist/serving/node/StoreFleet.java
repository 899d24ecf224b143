package org.pollenhoist.serving.node;

import io.netty.channel.DefaultEventLoop;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.http.BufferedHttpClient.Result;
import org.pollenhoist.serving.http.ResponseTimeout;
import org.pollenhoist.serving.http.Target;
import org.pollenhoist.serving.limit.FleetRateLimiter;
import org.pollenhoist.serving.peer.PeerExchange;
import org.pollenhoist.serving.peer.PeerReport;
import org.pollenhoist.serving.placement.DemandRates;
import org.pollenhoist.serving.store.StoreEras;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StoreMirror;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamNoticeHandler;
import org.pollenhoist.serving.upstream.UpstreamTable;
import org.pollenhoist.vm.generated.VmDigest;

/** Simulates a fleet whose VMs learn of configurations from a store or from each other, on a simulated clock. */
final class StoreFleet {

    static final String CONFIGURATION = "op/config";

    private static final String VM_PREFIX = "pollenhoist/vms/";
    private static final int TICK_MILLISECONDS = 50;
    private static final int LINK_DELAY_MILLISECONDS = 1;
    /** By how much the looks of one VM come before those of the next. */
    private static final int LOOK_OFFSET_MILLISECONDS = 37;

    private static final double LOSS_RATE = 0.01;
    private static final Duration UPSTREAM_HEARTBEAT = Duration.ofMillis(1_200);
    private static final int RELAY_REQUEST_BYTES = 200;
    private static final int OK = 200;
    private static final int BUSY = 503;
    private static final byte[] EMPTY = new byte[0];

    /** A VM, whose processes follow each other. */
    final class Vm {

        final String name;
        final String failureDomain;
        /** Bandwidth of the link that the settings of the next process name. */
        int linkMegabits;

        private final InetSocketAddress address;
        private final SimulatedLink link;
        private VmProcess process;
        private long incarnation;
        private boolean isFrozen;
        private boolean isStopping;
        private SimulatedHistoryStore.Treatment treatment = SimulatedHistoryStore.Treatment.SERVED;
        private long lastTreatment;
        private MonotonicTime disturbedUntil;
        private final List<Runnable> waiting = new ArrayList<>();
        private long version;
        private long bytes;

        private Vm(int index, int domains, SimulatedLink link) {
            this.failureDomain = "domain-" + index % domains;
            this.name = "frontend-" + failureDomain + '-' + index;
            this.address = SimulatedExchange.addressOf(index);
            this.link = link;
            this.linkMegabits = link.megabitsPerSecond();
            this.disturbedUntil = now();
        }

        private void start() {
            isStopping = false;
            process = new VmProcess(this, ++incarnation);
            process.access.treat(treatment);
            process.mirror.start();
            after(random.nextInt(TICK_MILLISECONDS), process::tickForever);
        }

        /** Returns the highest version of the configuration that has been in force here since the process started. */
        long version() {
            return version;
        }

        /** Returns whether nothing has disturbed this VM for a while. */
        boolean isUndisturbedFor(Duration duration) {
            return !isFrozen
                    && process != null
                    && !isStopping
                    && now().since(disturbedUntil).compareTo(duration) >= 0;
        }

        boolean isWatching() {
            return process != null && !isFrozen && process.digests.mustFollowStore(now());
        }

        /** Returns a number that is higher the later this VM's treatment was last changed, 0 if it never was. */
        long lastTreatment() {
            return lastTreatment;
        }

        /** Returns whether this VM watches the store with success. */
        boolean isCurrent() {
            return process != null && process.mirror.isCurrent(now());
        }

        /** Lets the store treat this VM in a certain way for a while. */
        void treat(SimulatedHistoryStore.Treatment next, long forMilliseconds) {
            lastTreatment = ++treatments;
            treat(next);
            after(forMilliseconds, () -> treat(SimulatedHistoryStore.Treatment.SERVED));
        }

        private void treat(SimulatedHistoryStore.Treatment next) {
            treatment = next;
            if (process != null) {
                process.access.treat(next);
            }
        }

        /** Lets a share of the store's responses to this VM get lost for a while. */
        void loseResponses(double share, long forMilliseconds) {
            if (process != null) {
                SimulatedHistoryStore.Access access = process.access;
                access.loseResponses(share);
                after(forMilliseconds, () -> access.loseResponses(0));
            }
        }

        /** Lets the processes of this VM stand still for a while. */
        void freeze(long milliseconds) {
            if (isFrozen || process == null) {
                return;
            }
            isFrozen = true;
            after(milliseconds, () -> {
                isFrozen = false;
                disturbedUntil = now();
                List<Runnable> due = List.copyOf(waiting);
                waiting.clear();
                due.forEach(Runnable::run);
            });
        }

        /** Stops the process, which tells its peers, and starts another one after a while. */
        void restart(long graceMilliseconds, long downMilliseconds) {
            if (process == null || isStopping) {
                return;
            }
            isStopping = true;
            process.digests.send(now());
            after(graceMilliseconds, () -> kill(downMilliseconds));
        }

        /** Ends the process without notice and starts another one after a while. */
        void kill(long downMilliseconds) {
            if (process == null) {
                return;
            }
            process.access.close();
            process = null;
            version = 0;
            after(downMilliseconds, () -> {
                disturbedUntil = now();
                start();
            });
        }

        /** Runs an action at the next look of this VM's event loop at its sockets and timers. */
        private void run(VmProcess owner, Runnable action) {
            if (lookIntervalMilliseconds == 0) {
                runNow(owner, action);
            } else {
                long sinceLook = (clock.milliseconds() + (long) LOOK_OFFSET_MILLISECONDS * address.getPort())
                        % lookIntervalMilliseconds;
                after(lookIntervalMilliseconds - sinceLook, () -> runNow(owner, action));
            }
        }

        private void runNow(VmProcess owner, Runnable action) {
            if (isFrozen) {
                waiting.add(() -> run(owner, action));
            } else if (process == owner) {
                action.run();
            }
        }

        private void install(long next) {
            if (next >= version) {
                version = next;
                installed.accept(this);
            }
        }
    }

    /** One process with the components that keep its copy of the store. */
    private final class VmProcess implements VmWithoutEngines {

        private final Vm vm;
        private final DigestCodec codec;
        private final StoreEras eras = new StoreEras();
        private final UpstreamTable upstreams = new UpstreamTable();
        private final FleetRateLimiter limits = new FleetRateLimiter(true, () -> vms.size(), () -> {});
        private final CrashTracking crashes;
        private final PeerExchange peers;
        private final DigestExchange digests;
        private final SimulatedHistoryStore.Access access;
        private final StoreMirror mirror;
        private final StoreRelayExchange relay;
        private final StoreSynchronizer synchronizer;

        private VmProcess(Vm vm, long incarnation) {
            this.vm = vm;
            this.codec = new DigestCodec(vm.name, vm.failureDomain, incarnation, vm.linkMegabits);
            this.crashes = new CrashTracking(
                    vm.name,
                    StoreFleet.this::now,
                    upstreams,
                    UPSTREAM_HEARTBEAT,
                    new InMemoryStore(),
                    new PrometheusRegistry(),
                    () -> {});
            this.peers = new PeerExchange(this::transmit, StoreFleet.this::now, vm.name, this::receive, streams -> {});
            this.digests = new DigestExchange(
                    (delay, action) -> later(delay.toMillis(), action),
                    StoreFleet.this::now,
                    peers,
                    upstreams,
                    new UpstreamNoticeHandler(upstreams, upstream -> {}),
                    limits,
                    new DemandRates(),
                    crashes,
                    this);
            this.access = store.access(eras, vm.link, action -> vm.run(this, action));
            this.mirror = new StoreMirror(new SimulatedLoop(), StoreFleet.this::now, access, this, this::batchingDelay);
            RelaySources sources = new RelaySources(vm.failureDomain, vm.name);
            this.relay = new StoreRelayExchange(this::call, peers, sources, mirror, eras, StoreFleet.this::now);
            StoreStanding standing =
                    new StoreStanding(vm.failureDomain, mirror::revision, mirror::knownAsOf, eras, peers, now());
            this.synchronizer = new StoreSynchronizer(mirror, relay, digests, standing, now());
            eras.onChange(() -> mirror.onNewEra(now()));
        }

        private void later(long milliseconds, Runnable action) {
            after(milliseconds, () -> vm.run(this, action));
        }

        private void tickForever() {
            vm.run(this, () -> {
                mirror.applyDueRemovals(now());
                synchronizer.tick(now());
                digests.tick(now());
                after(TICK_MILLISECONDS, this::tickForever);
            });
        }

        private Duration batchingDelay() {
            return synchronizer.batchingDelay(bound);
        }

        private void receive(PeerReport report) {
            relay.receive(report.digest());
            digests.receive(report);
        }

        private void transmit(byte[] sent, List<InetSocketAddress> receivers) {
            for (InetSocketAddress receiver : receivers) {
                Vm to = vms.get(receiver.getPort() - 1);
                vm.bytes += sent.length;
                if (random.nextDouble() >= LOSS_RATE && !isPartitioned(vm, to)) {
                    transfer(vm, to, sent.length, () -> {
                        VmProcess reached = to.process;
                        if (reached != null) {
                            to.run(reached, () -> reached.peers.receive(sent, vm.address));
                        }
                    });
                }
            }
        }

        private void call(Target target, FullHttpRequest request, ResponseTimeout timeout, Consumer<Result> callback) {
            String uri = request.uri();
            request.release();
            SimulatedCall<Result> call = new SimulatedCall<>(result -> {
                relays.end(result);
                callback.accept(result);
            });
            call.giveUpWithoutProgress(timeout, this::later, new Result.Failed(true, "no response"));
            Vm to = vms.get(target.address().getPort() - 1);
            VmProcess reached = to.process;
            if (reached != null && !isPartitioned(vm, to)) {
                transfer(vm, to, RELAY_REQUEST_BYTES, () -> to.run(reached, () -> relay(uri, reached, call)));
            }
        }

        private void relay(String uri, VmProcess relaying, SimulatedCall<Result> call) {
            StoreRelayServer server = relaying.relay.server();
            Optional<StoreRelayServer.Relay> begun = server.begin(uri);
            if (begun.isEmpty()) {
                transfer(
                        relaying.vm,
                        vm,
                        RELAY_REQUEST_BYTES,
                        () -> answer(call, BUSY, EmptyHttpHeaders.INSTANCE, EMPTY));
                return;
            }
            StoreRelayServer.Relay relay = begun.get();
            relaying.vm.bytes += relay.bytes().length;
            relays.begin(vm, relaying.vm, call);
            SimulatedTransfer transfer = SimulatedTransfer.begin(
                    clock,
                    relaying.vm.link,
                    vm.link,
                    LINK_DELAY_MILLISECONDS,
                    relay.bytes().length,
                    () -> !call.isComplete() && vm.process == this && relaying.vm.process == relaying,
                    () -> {
                        server.end(relay);
                        answer(call, OK, StoreRelayServer.headers(relay), relay.bytes());
                    });
            transfer.whenStopped(() -> server.end(relay));
            call.receives(transfer);
        }

        private void answer(SimulatedCall<Result> call, int status, HttpHeaders headers, byte[] body) {
            vm.run(this, () -> call.complete(new Result.Answered(status, headers, body)));
        }

        @Override
        public void onWritten(StoreItem item) {
            if (item.key().equals(CONFIGURATION)) {
                vm.install(SimulatedConfiguration.versionOf(item.value()));
            } else if (item.key().startsWith(VM_PREFIX)) {
                Vm peer = vms.get(Integer.parseInt(item.key().substring(VM_PREFIX.length())));
                peers.putPeer(peer.name, peer.address, peer.failureDomain);
            }
        }

        @Override
        public VmDigest createDigest(long sequence, boolean hasDemand, Collection<Upstream> engines, MonotonicTime at) {
            return codec.write(
                    sequence,
                    mirror.revision(),
                    mirror.isCurrent(at),
                    limits.report(at),
                    upstreams.all(),
                    Optional.empty(),
                    List.of(),
                    false,
                    vm.isStopping,
                    true,
                    engines,
                    Optional.empty(),
                    0,
                    crashes,
                    at);
        }

        @Override
        public String vmName() {
            return vm.name;
        }

        @Override
        public String failureDomain() {
            return vm.failureDomain;
        }

        @Override
        public int linkMegabits() {
            return vm.linkMegabits;
        }

        @Override
        public Collection<Upstream> engines() {
            return upstreams.all();
        }

        /** Runs what the mirror schedules on the simulated clock. */
        private final class SimulatedLoop extends DefaultEventLoop {

            @Override
            public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
                later(unit.toMillis(delay), command);
                return null;
            }
        }
    }

    final List<Vm> vms = new ArrayList<>();
    final SimulatedHistoryStore store;
    final RelayTraffic relays = new RelayTraffic();
    private final SimulatedClock clock = new SimulatedClock();
    private final Random random;
    private final Duration bound;
    private Consumer<Vm> installed = vm -> {};
    private Set<String> partitionedDomains = Set.of();
    private long configured;
    private int configurationBytes;
    private long treatments;
    private long lookIntervalMilliseconds;

    /** Creates a fleet whose links carry everything at once. */
    StoreFleet(int size, int domains, Duration bound, long seed) {
        this(size, domains, bound, seed, SimulatedLink.unlimited(), index -> SimulatedLink.unlimited());
    }

    /** Creates a fleet whose links carry only so much in a time. */
    StoreFleet(
            int size,
            int domains,
            Duration bound,
            long seed,
            SimulatedLink storeLink,
            IntFunction<SimulatedLink> links) {
        this.random = new Random(seed);
        this.bound = bound;
        this.store = new SimulatedHistoryStore(clock, storeLink, random);
        for (int index = 0; index < size; index++) {
            vms.add(new Vm(index, domains, links.apply(index)));
            store.write(VM_PREFIX + index, new byte[0]);
        }
        configure(1);
        vms.forEach(vm -> after(random.nextInt(TICK_MILLISECONDS), vm::start));
    }

    /** Lets the event loop of each VM look at its sockets and timers no more often than this. */
    void lookEvery(Duration interval) {
        lookIntervalMilliseconds = interval.toMillis();
    }

    /** Writes a version of the configuration. */
    void configure(long version) {
        configured = version;
        store.write(CONFIGURATION, SimulatedConfiguration.of(version, configurationBytes));
    }

    /** Sets the size that versions of the configuration have from now on. */
    void setConfigurationBytes(int bytes) {
        configurationBytes = bytes;
    }

    /** Writes the newest version again, as the operator does when the store has lost it. */
    void rewriteConfiguration() {
        configure(configured);
    }

    /** Sets who is told each time a VM has a version in force. */
    void onInstalled(Consumer<Vm> listener) {
        installed = listener;
    }

    /** Separates failure domains from all others. */
    void partition(Set<String> domains) {
        partitionedDomains = domains;
    }

    private boolean isPartitioned(Vm from, Vm to) {
        return !from.failureDomain.equals(to.failureDomain)
                && (partitionedDomains.contains(from.failureDomain) || partitionedDomains.contains(to.failureDomain));
    }

    /** Returns how many bytes VMs have sent to each other, without headers. */
    long bytes() {
        return vms.stream().mapToLong(vm -> vm.bytes).sum();
    }

    MonotonicTime now() {
        return clock.now();
    }

    void after(long delayMilliseconds, Runnable action) {
        clock.after(delayMilliseconds, action);
    }

    void run(long durationMilliseconds) {
        clock.run(durationMilliseconds);
    }

    private void transfer(Vm from, Vm to, int bytes, Runnable whole) {
        SimulatedTransfer.begin(clock, from.link, to.link, LINK_DELAY_MILLISECONDS, bytes, whole);
    }
}
