package org.pollenhoist.serving.node;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.handler.codec.http.HttpResponse;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.VmName;
import org.pollenhoist.request.CrashNotice;
import org.pollenhoist.request.CrashQuarantine;
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
import org.pollenhoist.serving.request.RequestEnvironment;
import org.pollenhoist.serving.request.RequestHandler;
import org.pollenhoist.serving.request.RequestMetrics;
import org.pollenhoist.serving.request.RequestQueue;
import org.pollenhoist.serving.request.ResponseBufferBudget;
import org.pollenhoist.serving.request.UnansweredAttempts;
import org.pollenhoist.serving.routing.PromptLengthTracker;
import org.pollenhoist.serving.routing.PrefillRateEstimator;
import org.pollenhoist.serving.routing.UpstreamSelector;
import org.pollenhoist.serving.store.Store;
import org.pollenhoist.serving.store.StoreMirror;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamNoticeHandler;
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

    /** How often deadlines and waiting requests are looked at. */
    private static final Duration TICK = Duration.ofMillis(50);

    /** Age up to which a peer's report on its admissions counts as current: one digest may be late, not lost. */
    private static final Duration CURRENT_REPORTS = Duration.ofMillis(750);

    /** The same while a team presses on its limit, when digests come more often. */
    private static final Duration CURRENT_REPORTS_UNDER_PRESSURE = Duration.ofMillis(400);

    /** What answers may hold that are gathered before they are passed on: half of the process's direct memory. */
    private static final long ANSWER_MEMORY_BYTES = 24L << 20;

    /** How often idle connections are looked at. */
    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(500);

    /** How long a VM's place in line for the placement lease delays its application. */
    private static final Duration APPLICATION_STEP = Duration.ofMillis(150);

    private final PlatformBinding binding;
    private final EventLoop loop;
    private final BootClock bootClock = new BootClock();
    private final long incarnation = ThreadLocalRandom.current().nextLong();
    private final UpstreamTable upstreams = new UpstreamTable(this::upstreamEnded);
    private final UpstreamNoticeHandler notices = new UpstreamNoticeHandler(upstreams, this::upstreamLeaving);
    private final PrefillRateEstimator pace = new PrefillRateEstimator();
    private final RequestQueue queue = new RequestQueue();
    private final DemandTracker demand = new DemandTracker();
    private final RetryBudgets retryBudgets;
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final FleetRateLimiter limits;
    private final DemandRates demandRates;
    private final HttpConnectionPool connections;
    private final DatagramSocket datagrams;
    private final PeerExchange peers;
    private final DigestExchange digests;
    private final FleetState state;
    private final StoreMirror mirror;
    private final StoreRelayExchange relay;
    private final StoreFollowing following;
    private final Leadership leadership;
    private final PlacementDriver placement;
    private final CrashQuarantine quarantine;
    private final UnansweredAttempts unanswered;
    private final CrashReview crashReview;
    private final CrashNotices crashNotices;
    private final VerdictRecords verdicts;
    private final RequestHandler handler;
    private final CallerServer callers;
    private final PlannedStop stop;

    private ServingSettings settings;
    private MonotonicTime leaderMissingSince;
    private MonotonicTime sweptAt;

    private ServingNode(ServingSettings settings, PlatformBinding binding, EventLoop loop) {
        this.settings = settings;
        this.binding = binding;
        this.loop = loop;
        MonotonicTime now = bootClock.read();
        retryBudgets = new RetryBudgets(settings, now);
        leaderMissingSince = now;
        sweptAt = now;
        limits = new FleetRateLimiter(settings.isFirstStart(), this::fleetSize, this::announceSpending);
        demandRates = new DemandRates();
        connections = new HttpConnectionPool(loop, bootClock::read, this::upstreamAnswered);
        BufferedHttpClient calls = new BufferedHttpClient(loop, connections);
        quarantine = new CrashQuarantine(VmName.of(settings.vmName()), this::announceCrash);
        unanswered = new UnansweredAttempts(quarantine);
        crashNotices = new CrashNotices(quarantine::verdicts);
        crashReview = new CrashReview(quarantine, upstreams, settings.upstreamHeartbeat());
        datagrams = new DatagramSocket(loop);
        peers = new PeerExchange(datagrams, bootClock::read, settings.vmName(), this::hear);
        Store store = binding.store(calls, settings);
        verdicts = new VerdictRecords(store, quarantine);
        leadership = new Leadership(
                store,
                FleetState.LEADER_KEY,
                settings.vmName() + ' ' + Long.toHexString(incarnation),
                settings.placementTurn(),
                settings.isFirstStart(),
                now);
        state = new FleetState(
                settings, binding, bootClock::read, upstreams, peers, store, this::configure, leadership, verdicts);
        mirror = new StoreMirror(loop, bootClock::read, store, state, this::gatheringPause);
        relay = new StoreRelayExchange(calls, peers, mirror, bootClock::read);
        placement = new PlacementDriver(
                this::after,
                bootClock::read,
                leadership,
                binding.engineControl(calls, settings.vmName()),
                upstreams,
                pace,
                this::holdingsChanged);
        digests = new DigestExchange(
                this::after,
                bootClock::read,
                peers,
                upstreams,
                notices,
                limits,
                demandRates,
                quarantine,
                new DigestParts());
        following = new StoreFollowing(mirror, relay, digests);
        handler = new RequestHandler(environment());
        callers = new CallerServer(loop, bootClock::read, this::callerLimits, handler);
        stop = new PlannedStop(handler, callers);
    }

    private RequestEnvironment environment() {
        return new RequestEnvironment(
                bootClock::read,
                state::catalog,
                upstreams,
                limits,
                new UpstreamSelector(settings.failureDomain(), pace),
                pace,
                new PromptLengthTracker(),
                queue,
                connections,
                binding.requestFormat(),
                retryBudgets::of,
                this::fleetSize,
                demand,
                quarantine,
                unanswered,
                new ResponseBufferBudget(ANSWER_MEMORY_BYTES),
                new RequestMetrics(registry),
                this::wantBegan);
    }

    private Duration gatheringPause() {
        return following.gatheringPause(settings.propagationBound());
    }

    private void after(Duration delay, Runnable action) {
        loop.schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void upstreamAnswered(Target target, HttpResponse head) {
        notices.handleResponse(target.lifetime(), binding.requestFormat().readResponse(head), bootClock.read());
    }

    private void upstreamEnded(Upstream upstream) {
        unanswered.upstreamEnded(upstream, bootClock.read());
    }

    private void upstreamLeaving(Upstream upstream) {
        digests.announceLeaving();
    }

    private void announceCrash(CrashNotice notice) {
        MonotonicTime now = bootClock.read();
        crashNotices.add(notice, now);
        if (notice.isVerdict()) {
            verdicts.write(notice, now);
        }
    }

    private void announceSpending() {
        digests.announceSpending();
    }

    private CallerLimits callerLimits() {
        return state.catalog().map(Catalog::limits).orElse(CallerLimits.DEFAULTS);
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
        InternalEndpoints endpoints = new InternalEndpoints(loop, bootClock::read);
        return List.of(
                callers.listen(settings.callerAddress()),
                endpoints.listen(
                        settings.readinessAddress(),
                        binding.readinessPath(),
                        InternalEndpoints.readiness(this::isReady)),
                endpoints.listen(settings.metricsAddress(), "/metrics", InternalEndpoints.metrics(registry)),
                endpoints.listen(settings.peerAddress(), StoreRelayExchange.PATH, relay::answer),
                datagrams.listen(settings.peerAddress(), peers::receive));
    }

    private void begin() {
        mirror.start();
        loop.scheduleWithFixedDelay(this::tick, TICK.toMillis(), TICK.toMillis(), TimeUnit.MILLISECONDS);
    }

    private boolean isReady() {
        return state.catalog().isPresent() && !stop.isBegun();
    }

    private void tick() {
        try {
            MonotonicTime now = bootClock.read();
            handler.expire(now);
            mirror.applyDueRemovals(now);
            following.tick(now);
            limits.setReachableFraction(heardPart(PeerExchange.HEARD_FOR, now), now);
            Duration current = limits.isNearLimit(now) ? CURRENT_REPORTS_UNDER_PRESSURE : CURRENT_REPORTS;
            limits.setRecentlyReportedFraction(heardPart(current, now), now);
            queue.tryStartAll(now);
            lead(now);
            digests.tick(now);
            if (now.since(sweptAt).compareTo(SWEEP_INTERVAL) >= 0) {
                sweep(now);
            }
            stop.tick(now);
        } catch (RuntimeException failure) {
            // The next tick must come whatever happened in this one.
            LOG.event("tick_failed", "reason", failure, "at", failure.getStackTrace()[0]);
        }
    }

    private void sweep(MonotonicTime now) {
        sweptAt = now;
        callers.closeTimedOut(now);
        connections.closeIdle(now);
        crashReview.tick(following.isCurrent(now), now);
        verdicts.tick(placeInLine(now), now);
        if (!stop.isBegun()) {
            state.registerWhereMissing();
        }
    }

    private double heardPart(Duration within, MonotonicTime now) {
        return Math.min(1.0, (double) digests.countHeard(within, now) / fleetSize());
    }

    private int fleetSize() {
        return peers.peers().size() + 1;
    }

    private void configure(Catalog catalog) {
        MonotonicTime now = bootClock.read();
        limits.configure(catalog.teams(), now);
        queue.tryStartAll(now);
    }

    private void lead(MonotonicTime now) {
        if (!leadership.isVacant()) {
            leaderMissingSince = now;
        }
        Duration vacant = now.since(leaderMissingSince);
        boolean mayApply = isReady() && vacant.compareTo(APPLICATION_STEP.multipliedBy(placeInLine(now))) >= 0;
        leadership.tick(mayApply, now);
        place(now);
    }

    private int placeInLine(MonotonicTime now) {
        return digests.countHeardBefore(settings.vmName(), now);
    }

    private void place(MonotonicTime now) {
        if (state.catalog().isPresent() && leadership.isHolder()) {
            demandRates.onReport(settings.vmName(), demand.demand(now), now);
            placement.tick(state.catalog().get(), allWants(now), demandRates, now);
        }
    }

    private List<ModelRequest> allWants(MonotonicTime now) {
        List<ModelRequest> wants = new ArrayList<>(queue.modelRequests());
        wants.addAll(digests.peerWants(now));
        return wants;
    }

    private void wantBegan() {
        if (placement.isSendingOrders(bootClock.read())) {
            loop.execute(() -> place(bootClock.read()));
        } else {
            digests.tellOrderingVm();
        }
    }

    private void holdingsChanged(Upstream engine) {
        if (placement.isSendingOrders(bootClock.read())) {
            digests.announceHoldings(engine);
            loop.execute(() -> {
                MonotonicTime now = bootClock.read();
                queue.tryStartAll(now);
                place(now);
            });
        }
    }

    private void hear(PeerReport report) {
        DigestWriter.resignation(report.digest(), report.heardAt()).ifPresent(leadership::onResignation);
        digests.hear(report);
    }

    /**
     * Takes changed settings over, as far as a running process can: the bounds of retries and of a planned stop.
     * Addresses and names need a restart.
     *
     * @param changed the settings as they are now
     */
    public void reload(ServingSettings changed) {
        loop.execute(() -> {
            boolean isSame = changed.equals(settings);
            boolean isApplicable = changed.isForSameProcess(settings);
            LOG.event("reload", "changed", !isSame, "applied", !isSame && isApplicable);
            if (!isSame && isApplicable) {
                settings = changed;
                retryBudgets.configure(changed);
            }
        });
    }

    /**
     * Gives up readiness at once, serves on while the balancer notices, and ends once nothing runs any more. Every
     * request has its answer before the end.
     *
     * @param whenStopped runs on the event loop at the end
     */
    public void stop(Runnable whenStopped) {
        loop.execute(() -> {
            MonotonicTime now = bootClock.read();
            if (!stop.begin(settings.stopGrace(), whenStopped, now)) {
                return;
            }
            queue.tryStartAll(now);
            leadership.stop();
            digests.send(now);
        });
    }

    /** What this VM tells its peers, and what it does with what they tell. */
    private final class DigestParts implements DigestExchange.Parts {

        private final DigestWriter writer = new DigestWriter(settings.vmName(), settings.failureDomain(), incarnation);

        @Override
        public VmDigest describe(long sequence, boolean hasDemand, Collection<Upstream> engines, MonotonicTime now) {
            return writer.write(
                    sequence,
                    mirror.revision(),
                    mirror.isCurrent(now),
                    limits.report(now),
                    upstreams.all(),
                    hasDemand ? Optional.of(demand.demand(now)) : Optional.empty(),
                    queue.modelRequests(),
                    placement.isSendingOrders(now),
                    stop.isBegun(),
                    engines,
                    crashNotices.next(now),
                    leadership.resignation(),
                    now);
        }

        @Override
        public String vmName() {
            return settings.vmName();
        }

        @Override
        public boolean hasNewsForAll(MonotonicTime now) {
            boolean hasResigned = leadership.resignation().isPresent() && leadership.isVacant();
            return hasResigned || crashNotices.hasNews(now);
        }

        @Override
        public String failureDomain() {
            return settings.failureDomain();
        }

        @Override
        public Collection<Upstream> engines() {
            return upstreams.all();
        }

        @Override
        public boolean isOrdering(MonotonicTime now) {
            return placement.isSendingOrders(now);
        }

        @Override
        public void onHoldings(MonotonicTime now) {
            queue.tryStartAll(now);
        }

        @Override
        public void onWants(MonotonicTime now) {
            place(now);
        }
    }
}
