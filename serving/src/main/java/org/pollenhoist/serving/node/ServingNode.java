package org.pollenhoist.serving.node;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.catalog.CallerLimits;
import org.pollenhoist.serving.catalog.Catalog;
import org.pollenhoist.serving.http.BufferedHttpClient;
import org.pollenhoist.serving.http.CallerServer;
import org.pollenhoist.serving.http.HttpConnectionPool;
import org.pollenhoist.serving.http.Target;
import org.pollenhoist.serving.limit.FleetRateLimiter;
import org.pollenhoist.serving.peer.DatagramSocket;
import org.pollenhoist.serving.peer.PeerExchange;
import org.pollenhoist.serving.peer.PeerReport;
import org.pollenhoist.serving.placement.DemandRates;
import org.pollenhoist.serving.placement.DemandTracker;
import org.pollenhoist.serving.placement.Leadership;
import org.pollenhoist.serving.placement.ModelRequest;
import org.pollenhoist.serving.placement.PlacementDriver;
import org.pollenhoist.serving.request.InconclusiveAttempts;
import org.pollenhoist.serving.request.RequestEnvironment;
import org.pollenhoist.serving.request.RequestHandler;
import org.pollenhoist.serving.request.RequestMetrics;
import org.pollenhoist.serving.request.RequestQueue;
import org.pollenhoist.serving.request.ResponseBufferBudget;
import org.pollenhoist.serving.returns.ReturnLedger;
import org.pollenhoist.serving.routing.PrefillRateEstimator;
import org.pollenhoist.serving.routing.PromptLengthTracker;
import org.pollenhoist.serving.routing.UpstreamSelector;
import org.pollenhoist.serving.store.Store;
import org.pollenhoist.serving.store.StoreEras;
import org.pollenhoist.serving.store.StoreMirror;
import org.pollenhoist.serving.transport.Transport;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamNoticeHandler;
import org.pollenhoist.serving.upstream.UpstreamTable;
import org.pollenhoist.vm.generated.VmDigest;

/**
 * A serving process: accepts requests from callers, forwards them to upstreams, and takes part in model placement. All
 * state is confined to one event loop, since an entry VM has one processor.
 *
 * <p>Example: {@code ServingNode.start(ServingSettings.load(path), binding)}.
 */
public final class ServingNode {

    /** Interval of the periodic task that checks deadlines and queued requests. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    /** Interval of the periodic task that closes idle connections, and reconciles verdicts and the registration. */
    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(500);

    private final PlatformBinding binding;
    private final EventLoop loop;
    private final BootClock bootClock = new BootClock();
    private final StoreEras eras = new StoreEras();
    private final long incarnation = ThreadLocalRandom.current().nextLong();
    private final UpstreamTable upstreams = new UpstreamTable(this::upstreamEnded);
    private final UpstreamNoticeHandler notices = new UpstreamNoticeHandler(upstreams, this::upstreamChanged);
    private final PrefillRateEstimator prefillRates = new PrefillRateEstimator();
    private final RequestQueue queue = new RequestQueue();
    private final DemandTracker demand = new DemandTracker();
    private final RetryBudgets retryBudgets;
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final FleetRateLimiter limits;
    private final DemandRates demandRates = new DemandRates();
    private final HttpConnectionPool connections;
    private final DatagramSocket datagrams;
    private final PeerExchange peers;
    private final DigestExchange digests;
    private final FleetPresence presence;
    private final RateShares rateShares;
    private final FleetState state;
    private final StoreMirror mirror;
    private final StoreRelayExchange relay;
    private final StoreSynchronizer synchronizer;
    private final ConfigurationStanding configurationStanding;
    private final ReportedDepartures departures;
    private final Leadership leadership;
    private final PlacementDriver placement;
    private final PlacementTrigger placementTrigger = new PlacementTrigger(this::after, bootClock::read, this::place);
    private final CrashTracking crashes;
    private final StreamTracking streams;
    private final InconclusiveAttempts inconclusive;
    private final RequestHandler handler;
    private final RequestForwarding forwarding;
    private final CallerServer callers;
    private final InternalEndpoints endpoints;
    private final PlannedStop stop;
    private final LeaseRequestStagger leaseRequests;

    private ServingSettings settings;
    private MonotonicTime sweptAt = bootClock.read();

    private ServingNode(ServingSettings settings, PlatformBinding binding, EventLoop loop) {
        this.settings = settings;
        this.binding = binding;
        this.loop = loop;
        MonotonicTime now = bootClock.read();
        retryBudgets = new RetryBudgets(settings, now);
        leaseRequests = new LeaseRequestStagger(now);
        limits = new FleetRateLimiter(settings.isFirstStart(), this::fleetSize, this::announceSpending);
        connections =
                new HttpConnectionPool(loop, bootClock::read, binding.singleResponseFields(), this::upstreamResponded);
        BufferedHttpClient client = new BufferedHttpClient(loop, connections);
        datagrams = new DatagramSocket(loop);
        peers = new PeerExchange(datagrams, bootClock::read, settings.vmName(), this::receive, this::receiveStreams);
        Store store = binding.store(client, settings, eras);
        crashes = crashTracking(store);
        inconclusive = new InconclusiveAttempts(crashes.recorder());
        streams = streamTracking(store);
        leadership = new Leadership(
                store,
                FleetState.LEADER_KEY,
                settings.vmName() + ' ' + Long.toHexString(incarnation),
                settings.handoverInterval(),
                settings.isFirstStart(),
                now);
        state = new FleetState(
                settings,
                binding,
                bootClock::read,
                upstreams,
                peers,
                store,
                this::configure,
                leadership,
                crashes,
                streams,
                new ConfigurationMetrics(registry, bootClock::read));
        mirror = new StoreMirror(loop, bootClock::read, store, state, this::batchingDelay);
        relay = StoreRelayExchange.of(settings, client, peers, mirror, eras, bootClock::read);
        placement = new PlacementDriver(
                this::after,
                bootClock::read,
                leadership,
                binding.engineControl(client, settings.vmName()),
                upstreams,
                prefillRates,
                this::residentModelsChanged);
        digests = new DigestExchange(
                this::after, bootClock::read, peers, upstreams, notices, limits, demandRates, crashes, localVmState());
        presence = new FleetPresence(peers, digests, limits);
        rateShares = new RateShares(settings.vmName(), settings.failureDomain(), upstreams, peers, digests);
        StoreStanding standing = storeStanding(now);
        synchronizer = new StoreSynchronizer(mirror, relay, digests, standing, now);
        configurationStanding = ConfigurationStanding.of(state, mirror, standing, eras, peers);
        departures = new ReportedDepartures(upstreams, mirror::revision);
        forwarding = requestForwarding();
        handler = new RequestHandler(environment());
        callers = new CallerServer(loop, bootClock::read, this::callerLimits, binding.singleRequestFields(), handler);
        endpoints = new InternalEndpoints(callers, binding.singleRequestFields());
        stop = new PlannedStop(handler, callers, forwarding.server(), () -> Transport.shutDown(loop));
    }

    private RequestEnvironment environment() {
        return new RequestEnvironment(
                bootClock::read,
                state::catalog,
                configurationStanding::mayLackConfiguration,
                upstreams,
                notices,
                limits,
                new UpstreamSelector(settings.failureDomain(), prefillRates),
                prefillRates,
                new PromptLengthTracker(),
                queue,
                new ReturnLedger(),
                forwarding.connections(),
                binding.requestFormat(),
                retryBudgets::of,
                this::fleetSize,
                demand,
                crashes.recorder(),
                streams.registry(),
                inconclusive,
                ResponseBufferBudget.ofProcess(),
                new RequestMetrics(registry),
                this::modelRequested);
    }

    private CrashTracking crashTracking(Store store) {
        return new CrashTracking(
                settings.vmName(),
                bootClock::read,
                upstreams,
                settings.upstreamHeartbeat(),
                store,
                registry,
                this::announceCrashes);
    }

    private StreamTracking streamTracking(Store store) {
        return new StreamTracking(
                settings.vmName(),
                incarnation,
                this::after,
                bootClock::read,
                settings.isFirstStart(),
                upstreams,
                peers,
                store,
                eras,
                () -> mirror.knownAsOf(),
                this::streamsLearned);
    }

    private LocalVmState localVmState() {
        return new LocalVmState(
                settings,
                incarnation,
                mirror,
                state::configurationRevision,
                limits,
                upstreams,
                demand,
                queue,
                placement,
                leadership,
                crashes,
                this::isStopping,
                () -> forwarding.isAccepting(),
                now -> placementTrigger.request());
    }

    private StoreStanding storeStanding(MonotonicTime now) {
        StoreStanding standing =
                new StoreStanding(settings.failureDomain(), mirror::revision, mirror::knownAsOf, eras, peers, now);
        standing.register(registry, bootClock::read);
        return standing;
    }

    private RequestForwarding requestForwarding() {
        return new RequestForwarding(
                settings.failureDomain(),
                bootClock::read,
                connections,
                upstreams,
                notices,
                binding.requestFormat(),
                peers,
                this::isStopping);
    }

    private boolean isStopping() {
        return stop.isStopping();
    }

    private Duration batchingDelay() {
        return synchronizer.batchingDelay(settings.propagationBound());
    }

    private void after(Duration delay, Runnable action) {
        loop.schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void upstreamResponded(Target target, HttpResponse head) {
        notices.handleResponse(target.lifetime(), binding.requestFormat().readResponse(head), bootClock.read());
    }

    private void streamsLearned() {
        queue.tryStartAll(bootClock.read());
    }

    private void receiveStreams(VmDigest datagram) {
        streams.receive(datagram);
    }

    private void upstreamEnded(Upstream upstream) {
        inconclusive.upstreamEnded(upstream, bootClock.read());
    }

    private void upstreamChanged(Upstream upstream) {
        digests.announceUpstreamNews();
    }

    private void announceCrashes() {
        digests.announceCrashes();
    }

    private void announceSpending() {
        digests.announceSpending();
    }

    private CallerLimits callerLimits() {
        return state.catalog().map(Catalog::limits).orElse(CallerLimits.DEFAULTS);
    }

    /**
     * Starts a process and returns once it listens on all its addresses.
     *
     * @param settings its settings
     * @param binding the platform it runs on
     * @return the running process
     */
    public static ServingNode start(ServingSettings settings, PlatformBinding binding) {
        EventLoop loop = Transport.newEventLoop();
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
        NodeLog.started(settings, node.incarnation);
        return node;
    }

    private List<ChannelFuture> listen() {
        return List.of(
                callers.listen(settings.callerAddress()),
                endpoints.listen(
                        settings.readinessAddress(),
                        binding.readinessPath(),
                        InternalEndpoints.readiness(this::isReady)),
                endpoints.listen(settings.metricsAddress(), "/metrics", InternalEndpoints.metrics(registry)),
                endpoints.listenForPeers(
                        settings.peerAddress(),
                        forwarding.server(),
                        () -> RequestForwarding.limits(callerLimits()),
                        relay.server()::respond),
                datagrams.listen(settings.peerAddress(), peers::receive));
    }

    private void begin() {
        eras.register(registry);
        streams.register(registry);
        forwarding.register(registry);
        relay.server().register(registry);
        callers.register(registry);
        rateShares.register(registry, bootClock::read);
        configurationStanding.register(registry, bootClock::read);
        EvacuationMetrics.register(registry, upstreams, bootClock::read);
        eras.onChange(() -> leadership.onNewEra(bootClock.read()));
        eras.onChange(() -> mirror.onNewEra(bootClock.read()));
        mirror.start();
        EventLoopDelay delay = new EventLoopDelay(TICK_INTERVAL, registry, bootClock.read());
        PeriodicTask task =
                new PeriodicTask(bootClock::read, List.of(delay::begin, this::tick, stop::tick, delay::end));
        loop.scheduleWithFixedDelay(task, TICK_INTERVAL.toMillis(), TICK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    private boolean isReady() {
        return state.catalog().isPresent() && !stop.isStopping();
    }

    private void tick(MonotonicTime now) {
        handler.expire(now);
        mirror.applyDueRemovals(now);
        synchronizer.tick(now);
        configurationStanding.update(now);
        departures.update(now);
        presence.updateLimits(now);
        rateShares.update(stop.isStopping(), now);
        queue.tryStartAll(now);
        updateLeadership(now);
        crashes.announceDue(now);
        streams.tick(now);
        forwarding.tick(now);
        digests.tick(now);
        if (now.since(sweptAt).compareTo(SWEEP_INTERVAL) >= 0) {
            sweep(now);
        }
    }

    private void sweep(MonotonicTime now) {
        sweptAt = now;
        callers.closeTimedOut(now);
        endpoints.closeStalled(now);
        connections.closeIdle(now);
        crashes.tick(synchronizer.isCurrent(now), vmIndex(now), now);
        streams.sweep(synchronizer.isCurrent(now), vmIndex(now), now);
        if (!stop.isStopping()) {
            state.registerIfMissing();
        }
    }

    private int fleetSize() {
        return peers.peerNames().size() + 1;
    }

    private void configure(Catalog catalog) {
        MonotonicTime now = bootClock.read();
        limits.configure(catalog.teams(), now);
        queue.tryStartAll(now);
    }

    private void updateLeadership(MonotonicTime now) {
        boolean isDue = leaseRequests.isDue(leadership.isVacant(), vmIndex(now), now);
        leadership.tick(isDue && isReady() && forwarding.isAccepting(), now);
        place(now);
    }

    private int vmIndex(MonotonicTime now) {
        return digests.countReportingPeersBefore(settings.vmName(), now);
    }

    private void place(MonotonicTime now) {
        if (state.catalog().isPresent() && leadership.isHolder()) {
            demandRates.onReport(settings.vmName(), demand.demand(now), now);
            placement.tick(state.catalog().get(), allModelRequests(now), demandRates, now);
        }
    }

    private List<ModelRequest> allModelRequests(MonotonicTime now) {
        List<ModelRequest> requests = new ArrayList<>(queue.modelRequests());
        requests.addAll(digests.peerModelRequests(now));
        return requests;
    }

    private void modelRequested() {
        if (placement.isSendingOrders(bootClock.read())) {
            placementTrigger.request();
        } else {
            digests.notifyPlacementLeader();
        }
    }

    private void residentModelsChanged(Upstream engine) {
        if (placement.isSendingOrders(bootClock.read())) {
            digests.announceResidentModels(engine);
            loop.execute(() -> queue.tryStartAll(bootClock.read()));
            placementTrigger.request();
        }
    }

    private void receive(PeerReport report) {
        relay.receive(report.digest());
        departures.receive(report);
        leadership.onTokenUsed(report.digest().getHighestFencingToken());
        DigestCodec.resignation(report.digest(), eras, report.receivedAt()).ifPresent(leadership::onResignation);
        digests.receive(report);
    }

    /**
     * Applies changed settings as far as a running process can: the retry budget and the grace period of a planned
     * stop. Changes of names and addresses need a restart.
     *
     * @param changed the new settings
     */
    public void reload(ServingSettings changed) {
        loop.execute(() -> {
            boolean isSame = changed.equals(settings);
            boolean isApplicable = changed.isApplicableTo(settings);
            NodeLog.reloaded(!isSame, !isSame && isApplicable);
            if (!isSame && isApplicable) {
                settings = changed;
                retryBudgets.configure(changed);
            }
        });
    }

    /**
     * Starts a planned stop: the process reports not ready immediately, keeps serving until the load balancer has
     * noticed, and ends once no request is running and every one has been answered. Then all sockets are closed.
     *
     * @param whenStopped runs when all sockets are closed, on another thread than the event loop's
     */
    public void stop(Runnable whenStopped) {
        loop.terminationFuture().addListener(closed -> whenStopped.run());
        if (!loop.isShuttingDown()) {
            loop.execute(this::beginStop);
        }
    }

    /**
     * Runs an action if the event loop ends without a planned stop, after which this process answers nobody.
     *
     * @param action what is run, on another thread than the event loop's
     */
    public void onUnexpectedEnd(Runnable action) {
        loop.terminationFuture().addListener(ended -> {
            if (!isStopping()) {
                action.run();
            }
        });
    }

    private void beginStop() {
        MonotonicTime now = bootClock.read();
        if (stop.begin(settings.stopGrace(), now)) {
            queue.tryStartAll(now);
            leadership.stop();
            digests.send(now);
        }
    }
}
