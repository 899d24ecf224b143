package org.pollenhoist.serving.node;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.serving.catalog.CallerLimits;
import org.pollenhoist.serving.catalog.Catalog;
import org.pollenhoist.serving.http.CallerAnswer;
import org.pollenhoist.serving.http.CallerServer;
import org.pollenhoist.serving.http.HttpCalls;
import org.pollenhoist.serving.http.HttpConnections;
import org.pollenhoist.serving.http.IncomingRequest;
import org.pollenhoist.serving.limit.FleetLimits;
import org.pollenhoist.serving.peer.PeerExchange;
import org.pollenhoist.serving.peer.PeerReport;
import org.pollenhoist.serving.placement.DemandRates;
import org.pollenhoist.serving.placement.Leadership;
import org.pollenhoist.serving.placement.ModelWant;
import org.pollenhoist.serving.placement.PlacementDriver;
import org.pollenhoist.serving.request.DemandCounter;
import org.pollenhoist.serving.request.FleetRetryBudget;
import org.pollenhoist.serving.request.RequestEnvironment;
import org.pollenhoist.serving.request.RequestHandler;
import org.pollenhoist.serving.request.RequestMetrics;
import org.pollenhoist.serving.request.RequestQueue;
import org.pollenhoist.serving.routing.ReadingPace;
import org.pollenhoist.serving.routing.UpstreamSelector;
import org.pollenhoist.serving.store.Store;
import org.pollenhoist.serving.store.StoreAnswer;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StoreMirror;
import org.pollenhoist.serving.upstream.PeerUse;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamTable;
import org.pollenhoist.vm.generated.VmDigest;

/**
 * A serving process: it takes callers' requests, sends them to upstreams, and takes its part in ordering models. All
 * state is confined to one event loop, since an entry VM has one processor.
 *
 * <p>Example: {@code ServingNode.start(ServingSettings.load(path), binding)}.
 */
public final class ServingNode {

    private static final DecisionLog LOG = DecisionLog.of("node");

    private static final String OWN_PREFIX = "pollenhoist/";
    private static final String VM_PREFIX = OWN_PREFIX + "vms/";
    private static final String LEADER_KEY = OWN_PREFIX + "placement";

    /** How often deadlines and waiting requests are looked at. */
    private static final Duration TICK = Duration.ofMillis(50);

    /** How often idle connections are looked at. */
    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(500);

    /** How often peers are told the state of this VM. */
    private static final Duration DIGEST_INTERVAL = Duration.ofMillis(250);

    /** How often peers are told what changes slowly as well: demand, and what engines hold. */
    private static final Duration FULL_DIGEST_INTERVAL = Duration.ofSeconds(1);

    /** Shortest time between two digests. */
    private static final Duration DIGEST_PAUSE = Duration.ofMillis(4);

    /**
     * How long a balancer may still send new connections after the VM ceased to be ready: two checks, and the way of a
     * connection. What comes later could not be finished before the process is killed.
     */
    private static final Duration BALANCER_LAG = Duration.ofMillis(2_600);

    /** Time before the kill at which a planned stop ends in any case. */
    private static final Duration KILL_MARGIN = Duration.ofMillis(600);

    /** How long after its last order a stopping VM gives the lease up. */
    private static final Duration RELEASE_DELAY = Duration.ofMillis(600);

    /** How long a VM's place in line for the placement lease delays its application. */
    private static final Duration APPLICATION_STEP = Duration.ofMillis(150);

    private final ServingSettings settings;
    private final PlatformBinding binding;
    private final EventLoop loop;
    private final BootClock bootClock = new BootClock();
    private final long incarnation = ThreadLocalRandom.current().nextLong();
    private final UpstreamTable upstreams = new UpstreamTable();
    private final FleetLimits limits;
    private final ReadingPace pace = new ReadingPace();
    private final RequestQueue queue = new RequestQueue();
    private final DemandCounter demand = new DemandCounter();
    private final DemandRates demandRates;
    private final Map<String, FleetRetryBudget> retryBudgets = new HashMap<>();
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final HttpConnections connections;
    private final Store store;
    private final StoreMirror mirror;
    private final PeerExchange peers;
    private final Leadership leadership;
    private final PlacementDriver placement;
    private final RequestHandler handler;
    private final CallerServer callers;

    private Optional<Catalog> catalog = Optional.empty();
    private long digestSequence;
    private MonotonicTime digestSentAt;
    private MonotonicTime fullDigestSentAt;
    private boolean areHoldingsChanged;
    private boolean isDigestScheduled;
    private boolean isRegistering;
    private MonotonicTime leaderMissingSince;
    private MonotonicTime sweptAt;
    private Optional<MonotonicTime> stoppingSince = Optional.empty();
    private Runnable onStopped = () -> {};

    private ServingNode(ServingSettings settings, PlatformBinding binding, EventLoop loop) {
        this.settings = settings;
        this.binding = binding;
        this.loop = loop;
        MonotonicTime now = bootClock.read();
        digestSentAt = now;
        fullDigestSentAt = now;
        leaderMissingSince = now;
        sweptAt = now;
        limits = new FleetLimits(settings.isFirstStart());
        demandRates = new DemandRates(now);
        connections = new HttpConnections(loop, bootClock::read);
        HttpCalls calls = new HttpCalls(loop, connections);
        store = binding.store(calls, settings);
        mirror = new StoreMirror(loop, bootClock::read, store, new MirrorListener());
        peers = new PeerExchange(loop, bootClock::read, settings.vmName(), this::hear);
        leadership = new Leadership(
                store,
                LEADER_KEY,
                settings.vmName() + ' ' + Long.toHexString(incarnation),
                settings.placementTurn(),
                settings.isFirstStart(),
                now);
        placement = new PlacementDriver(
                loop,
                bootClock::read,
                leadership,
                binding.engineControl(calls, settings.vmName()),
                upstreams,
                pace,
                this::holdingsChanged);
        handler = new RequestHandler(environment());
        callers = new CallerServer(loop, bootClock::read, this::callerLimits, handler);
    }

    private RequestEnvironment environment() {
        return new RequestEnvironment(
                bootClock::read,
                () -> catalog,
                upstreams,
                limits,
                new UpstreamSelector(settings.failureDomain(), pace),
                pace,
                queue,
                connections,
                binding.requestFormat(),
                this::retryBudget,
                () -> peers.peers().size() + 1,
                demand,
                new RequestMetrics(registry),
                this::wantBegan);
    }

    private FleetRetryBudget retryBudget(String service) {
        return retryBudgets.computeIfAbsent(
                service,
                name -> new FleetRetryBudget(settings.retryRatio(), settings.retryWindow(), settings.retryAllowance()));
    }

    private CallerLimits callerLimits() {
        return catalog.map(Catalog::limits).orElse(CallerLimits.DEFAULTS);
    }

    /**
     * Starts a process; it listens when this returns.
     *
     * @param settings its settings
     * @param binding the platform it runs on
     * @return the running process
     */
    public static ServingNode start(ServingSettings settings, PlatformBinding binding) {
        EventLoop loop = new EpollEventLoopGroup(1).next();
        List<ChannelFuture> listening = new ArrayList<>();
        ServingNode node = loop.submit(() -> {
                    ServingNode created = new ServingNode(settings, binding, loop);
                    listening.addAll(created.listen());
                    return created;
                })
                .syncUninterruptibly()
                .getNow();
        listening.forEach(ChannelFuture::syncUninterruptibly);
        loop.execute(node::begin);
        LOG.event(
                "started",
                "vm",
                settings.vmName(),
                "failure_domain",
                settings.failureDomain(),
                "callers",
                settings.callerAddress(),
                "store",
                settings.storeAddress(),
                "first_start",
                settings.isFirstStart(),
                "incarnation",
                Long.toHexString(node.incarnation));
        return node;
    }

    private List<ChannelFuture> listen() {
        return List.of(
                callers.listen(settings.callerAddress()),
                listenLocally(settings.readinessAddress(), binding.readinessPath(), this::answerReadiness),
                listenLocally(settings.metricsAddress(), "/metrics", this::answerMetrics),
                peers.listen(settings.peerAddress()));
    }

    private void begin() {
        mirror.start();
        loop.scheduleWithFixedDelay(this::tick, TICK.toMillis(), TICK.toMillis(), TimeUnit.MILLISECONDS);
    }

    private ChannelFuture listenLocally(
            InetSocketAddress address, String path, java.util.function.Consumer<CallerAnswer> onRequest) {
        return new CallerServer(loop, bootClock::read, () -> CallerLimits.DEFAULTS, (request, answer) -> {
                    answerLocally(request, answer, path, onRequest);
                    return () -> {};
                })
                .listen(address);
    }

    private static void answerLocally(
            IncomingRequest request,
            CallerAnswer answer,
            String path,
            java.util.function.Consumer<CallerAnswer> onRequest) {
        request.body().release();
        if (request.head().uri().equals(path)) {
            onRequest.accept(answer);
        } else {
            answer.sendWhole(404, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
        }
    }

    private void answerReadiness(CallerAnswer answer) {
        answer.sendWhole(isReady() ? 200 : 503, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
    }

    private void answerMetrics(CallerAnswer answer) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(text, registry.scrape());
        } catch (IOException impossible) {
            throw new IllegalStateException("writing to memory failed", impossible);
        }
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, PrometheusTextFormatWriter.CONTENT_TYPE);
        answer.sendWhole(200, headers, Unpooled.wrappedBuffer(text.toByteArray()));
    }

    private boolean isReady() {
        return catalog.isPresent() && stoppingSince.isEmpty();
    }

    private void tick() {
        try {
            MonotonicTime now = bootClock.read();
            handler.expire(now);
            mirror.tick(now);
            limits.setReachablePart(reachablePart(now), now);
            queue.pump(now);
            lead(now);
            if (now.since(digestSentAt).compareTo(DIGEST_INTERVAL) >= 0) {
                sendDigest(now);
            }
            if (now.since(sweptAt).compareTo(SWEEP_INTERVAL) >= 0) {
                sweptAt = now;
                callers.sweep(now);
                connections.closeIdle(now);
            }
            stoppingSince.ifPresent(since -> stopWhenDone(since, now));
        } catch (RuntimeException failure) {
            // The next tick must come whatever happened in this one.
            LOG.event("tick_failed", "reason", failure, "at", failure.getStackTrace()[0]);
        }
    }

    private double reachablePart(MonotonicTime now) {
        int known = peers.peers().size() + 1;
        int heard = (int) peers.heard(now).stream()
                        .filter(report -> peers.peers().contains(report.digest().getVmName()))
                        .count()
                + 1;
        return (double) heard / known;
    }

    private void lead(MonotonicTime now) {
        Optional<StoreItem> record = mirror.find(LEADER_KEY);
        if (record.isPresent()) {
            leaderMissingSince = now;
        }
        boolean mayApply = catalog.isPresent()
                && now.since(leaderMissingSince).compareTo(APPLICATION_STEP.multipliedBy(placeInLine(now))) >= 0;
        leadership.tick(
                record.map(StoreItem::value), record.map(StoreItem::revision).orElse(0L), mayApply, now);
        place(now);
    }

    private int placeInLine(MonotonicTime now) {
        return (int) peers.heard(now).stream()
                .filter(report -> report.digest().getVmName().compareTo(settings.vmName()) < 0)
                .count();
    }

    private void place(MonotonicTime now) {
        if (catalog.isPresent() && leadership.isHolder()) {
            demand.totals()
                    .forEach((model, total) -> demandRates.hear(settings.vmName(), incarnation, model, total.tokens()));
            placement.tick(catalog.get(), allWants(now), demandRates.rates(now), now);
        }
    }

    private List<ModelWant> allWants(MonotonicTime now) {
        List<ModelWant> wants = new ArrayList<>(queue.wants());
        peers.heard(now)
                .forEach(report -> report.digest()
                        .getWantsList()
                        .forEach(want ->
                                wants.add(new ModelWant(want.getService(), want.getModel(), want.getAdapter()))));
        return wants;
    }

    private void wantBegan() {
        MonotonicTime now = bootClock.read();
        if (placement.isOrdering(now)) {
            loop.execute(() -> place(bootClock.read()));
        } else {
            tellOrderingVm();
        }
    }

    private void holdingsChanged() {
        if (placement.isOrdering(bootClock.read())) {
            areHoldingsChanged = true;
            digestSoon();
            loop.execute(() -> {
                MonotonicTime now = bootClock.read();
                queue.pump(now);
                place(now);
            });
        }
    }

    /** The VM that orders learns at once what is waited for here; all others have no use for it. */
    private void tellOrderingVm() {
        MonotonicTime now = bootClock.read();
        peers.heard(now).stream()
                .filter(report -> report.digest().getIsPlacing())
                .findFirst()
                .ifPresent(report ->
                        peers.sendTo(digest(false, now), report.digest().getVmName()));
    }

    private void digestSoon() {
        if (isDigestScheduled) {
            return;
        }
        isDigestScheduled = true;
        Duration due = DIGEST_PAUSE.minus(bootClock.read().since(digestSentAt));
        loop.schedule(
                () -> {
                    isDigestScheduled = false;
                    sendDigest(bootClock.read());
                },
                Math.max(0, due.toMillis()),
                TimeUnit.MILLISECONDS);
    }

    private void sendDigest(MonotonicTime now) {
        boolean isFull = areHoldingsChanged || now.since(fullDigestSentAt).compareTo(FULL_DIGEST_INTERVAL) >= 0;
        digestSentAt = now;
        if (isFull) {
            fullDigestSentAt = now;
            areHoldingsChanged = false;
        }
        peers.send(digest(isFull, now));
    }

    private VmDigest digest(boolean isFull, MonotonicTime now) {
        return new DigestWriter(settings.vmName(), settings.failureDomain(), incarnation)
                .write(
                        ++digestSequence,
                        mirror.revision(),
                        limits.report(now),
                        upstreams.all(),
                        demand.totals(),
                        queue.wants(),
                        placement.isOrdering(now),
                        stoppingSince.isPresent(),
                        isFull,
                        now);
    }

    private void hear(PeerReport report) {
        MonotonicTime now = report.heardAt();
        String vm = report.digest().getVmName();
        limits.hear(
                vm,
                report.digest().getIncarnation(),
                report.digest().getSpendingList().stream()
                        .map(spending -> new FleetLimits.Spending(
                                spending.getTeam(), spending.getAdmittedTokens(), spending.getLevelTokens()))
                        .toList(),
                now);
        hearUses(report);
        report.digest()
                .getDemandsList()
                .forEach(
                        one -> demandRates.hear(vm, report.digest().getIncarnation(), one.getModel(), one.getTokens()));
        if (report.digest().getHoldingsCount() > 0 && !placement.isOrdering(now)) {
            DigestWriter.applyHoldings(report.digest(), upstreams, now);
            queue.pump(now);
        }
        if (placement.isOrdering(now) && report.digest().getWantsCount() > 0) {
            place(now);
        }
    }

    private void hearUses(PeerReport report) {
        String vm = report.digest().getVmName();
        upstreams.all().forEach(upstream -> upstream.hear(vm, new PeerUse(0, 0, 0, report.heardAt())));
        report.digest()
                .getUpstreamUsesList()
                .forEach(use -> upstreams
                        .find(use.getUpstream())
                        .ifPresent(upstream -> upstream.hear(
                                vm,
                                new PeerUse(
                                        use.getRunning(),
                                        use.getUnreadTokens(),
                                        use.getReservedTokens(),
                                        report.heardAt()))));
    }

    /** Gives up readiness at once, goes on serving while the balancer notices, and ends once nothing runs any more. */
    public void stop(Runnable whenStopped) {
        loop.execute(() -> {
            if (stoppingSince.isPresent()) {
                return;
            }
            MonotonicTime now = bootClock.read();
            stoppingSince = Optional.of(now);
            onStopped = whenStopped;
            callers.stop();
            leadership.stop();
            loop.schedule(leadership::release, RELEASE_DELAY.toMillis(), TimeUnit.MILLISECONDS);
            LOG.event(
                    "stopping",
                    "running",
                    handler.runningRequests(),
                    "grace_ms",
                    settings.stopGrace().toMillis());
            sendDigest(now);
        });
    }

    private void stopWhenDone(MonotonicTime since, MonotonicTime now) {
        Duration elapsed = now.since(since);
        if (elapsed.compareTo(BALANCER_LAG) >= 0) {
            handler.refuseNew();
            callers.closeIdle();
        }
        boolean isDrained = elapsed.compareTo(BALANCER_LAG) >= 0
                && handler.runningRequests() == 0
                && callers.runningRequests() == 0;
        boolean isOverdue = elapsed.compareTo(settings.stopGrace().minus(KILL_MARGIN)) >= 0;
        if (isDrained || isOverdue) {
            LOG.event(
                    "stopped",
                    "after_ms",
                    elapsed.toMillis(),
                    "cut",
                    handler.runningRequests(),
                    "connections",
                    callers.openConnections());
            onStopped.run();
        }
    }

    private void install(StoreItem item) {
        Catalog found;
        try {
            found = binding.readCatalog(item.value());
        } catch (PollenhoistException unreadable) {
            LOG.event("configuration_unreadable", "revision", item.revision(), "reason", unreadable.getMessage());
            return;
        }
        if (catalog.isPresent() && found.version() < catalog.get().version()) {
            LOG.event(
                    "configuration_older",
                    "version",
                    found.version(),
                    "in_force",
                    catalog.get().version());
            return;
        }
        MonotonicTime now = bootClock.read();
        limits.configure(found.teams(), now);
        LOG.event(
                "configuration_in_force",
                "version",
                found.version(),
                "before",
                catalog.map(Catalog::version).orElse(0L),
                "revision",
                item.revision());
        catalog = Optional.of(found);
        queue.pump(now);
    }

    private void installUpstream(StoreItem item) {
        String identifier = item.key().substring(binding.upstreamPrefix().length());
        Optional<org.pollenhoist.serving.upstream.UpstreamDescription> description =
                binding.readUpstream(identifier, item.value());
        if (description.isPresent()) {
            upstreams.put(description.get(), bootClock.read());
        } else {
            upstreams.remove(identifier, "unreadable entry at revision " + item.revision());
        }
    }

    private void register() {
        if (isRegistering || stoppingSince.isPresent()) {
            return;
        }
        isRegistering = true;
        InetSocketAddress address = settings.peerAddress();
        String value = address.getAddress().getHostAddress() + ":" + address.getPort();
        store.commit(
                List.of(),
                List.of(new Store.Write(
                        VM_PREFIX + settings.vmName(), value.getBytes(StandardCharsets.UTF_8), OptionalLong.empty())),
                List.of(),
                answer -> {
                    isRegistering = false;
                    if (!(answer instanceof StoreAnswer.Success<Long>)) {
                        LOG.event("registration_failed", "answer", answer);
                        loop.schedule(this::registerWhereMissing, 1, TimeUnit.SECONDS);
                    }
                });
    }

    private void registerWhereMissing() {
        InetSocketAddress address = settings.peerAddress();
        String value = address.getAddress().getHostAddress() + ":" + address.getPort();
        boolean isRegistered = mirror.find(VM_PREFIX + settings.vmName())
                .map(item -> new String(item.value(), StandardCharsets.UTF_8))
                .filter(value::equals)
                .isPresent();
        if (!isRegistered) {
            register();
        }
    }

    /** Sorts what the store holds. */
    private final class MirrorListener implements StoreMirror.Listener {

        @Override
        public void onWritten(StoreItem item) {
            if (item.key().equals(binding.catalogKey())) {
                install(item);
            } else if (item.key().startsWith(binding.upstreamPrefix())) {
                installUpstream(item);
            } else if (item.key().startsWith(VM_PREFIX)) {
                String[] parts = new String(item.value(), StandardCharsets.UTF_8).split(":", -1);
                peers.putPeer(
                        item.key().substring(VM_PREFIX.length()),
                        new InetSocketAddress(parts[0], Integer.parseInt(parts[1])));
            }
        }

        @Override
        public void onRemoved(String key) {
            if (key.startsWith(binding.upstreamPrefix())) {
                upstreams.remove(key.substring(binding.upstreamPrefix().length()), "entry removed");
            } else if (key.startsWith(VM_PREFIX)) {
                String vm = key.substring(VM_PREFIX.length());
                peers.removePeer(vm);
                if (vm.equals(settings.vmName())) {
                    register();
                }
            }
        }

        @Override
        public void onLoaded() {
            registerWhereMissing();
        }
    }

    /**
     * Tells whether an upstream is known, for tests.
     *
     * @param identifier its identifier
     * @return the upstream
     */
    Optional<Upstream> upstream(String identifier) {
        return upstreams.find(identifier);
    }
}
