package org.pollenhoist.entry;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.pollenhoist.caller.EntryMetrics;
import org.pollenhoist.caller.RunningRequests;
import org.pollenhoist.caller.StrictHttpServer;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.configuration.ConfigurationTable;
import org.pollenhoist.configuration.InstalledConfiguration;
import org.pollenhoist.configuration.Upstream;
import org.pollenhoist.limit.ShareSettings;
import org.pollenhoist.limit.ShareTable;
import org.pollenhoist.platform.HttpPlatformService;
import org.pollenhoist.request.CrashQuarantine;
import org.pollenhoist.request.DrainPhase;
import org.pollenhoist.request.IdempotencyTable;
import org.pollenhoist.request.OutcomeRegistry;
import org.pollenhoist.request.RetryBudget;
import org.pollenhoist.request.RetryPolicy;
import org.pollenhoist.routing.Router;
import org.pollenhoist.routing.RoutingPolicy;
import org.pollenhoist.routing.UpstreamTable;
import org.pollenhoist.settings.CallerSettings;
import org.pollenhoist.settings.EntrySettings;
import org.pollenhoist.upstream.EngineReports;
import org.pollenhoist.upstream.UpstreamClient;
import org.pollenhoist.vm.CrashVerdictExchange;
import org.pollenhoist.vm.OutcomeExchange;
import org.pollenhoist.vm.Peer;
import org.pollenhoist.vm.PeerMesh;
import ratpack.exec.ExecController;
import ratpack.registry.Registry;
import ratpack.server.RatpackServerSpec;
import ratpack.server.ServerConfig;
import ratpack.server.ServerConfigBuilder;

/**
 * An entry process, to be embedded or run as a daemon.
 *
 * <p>Example: {@code EntryNode node = EntryNode.start(EntrySettings.load(path)); ... node.stopGracefully();}
 */
public final class EntryNode {

    private static final DecisionLog LOG = DecisionLog.of("entry");

    private static final int MAXIMUM_LINE_BYTES = 8 * 1024;

    /** Lets the last answers leave the process after their requests have ended. */
    private static final long FLUSH_MILLISECONDS = 100;

    private final EntrySettings settings;

    private final ConfigurationTable configuration = new ConfigurationTable();

    private final RunningRequests running = new RunningRequests();

    private final EntryMetrics metrics = new EntryMetrics();

    private final UpstreamTable upstreams = new UpstreamTable();

    private final CrashQuarantine quarantine;

    private final IdempotencyTable idempotency = new IdempotencyTable();

    private final OutcomeExchange outcomes;

    private final OutcomeStart outcomeStart;

    private volatile Runnable whenAskedToDrain = () -> {};

    private final PeerMesh mesh;

    private final HttpPlatformService platform;

    private final ConfigurationFeed feed;

    private final ShareGate gate;

    private final HomeShareFeed homeShare;

    private final LeavingWatch leavingWatch;

    private final DrainWatch drainWatch;

    private final PlannedStop plannedStop;

    private final StrictHttpServer server;

    private EntryNode(EntrySettings settings) throws Exception {
        this.settings = settings;
        long incarnation = new SecureRandom().nextLong();
        Peer self = new Peer(settings.vm().name(), settings.vm().failureDomain(), incarnation);
        InetSocketAddress peerAddress = new InetSocketAddress(
                settings.peers().address(), settings.peers().port());
        this.mesh = PeerMesh.start(self, peerAddress, settings.peers().seeds());
        metrics.showPeerTraffic(mesh::sentBytes, mesh::receivedBytes);
        this.platform = HttpPlatformService.at(
                new InetSocketAddress(
                        settings.platform().address(), settings.platform().port()),
                settings.platform().timeout(),
                settings.vm().failureDomain());
        this.feed = ConfigurationFeed.start(settings, configuration, platform, mesh);
        this.drainWatch = DrainWatch.start(settings.vm(), platform, mesh, () -> whenAskedToDrain.run());
        this.leavingWatch = LeavingWatch.start(settings.vm(), platform, upstreams, mesh);
        this.plannedStop =
                new PlannedStop(settings.shutdown(), running::count, () -> true, this::entered, MonotonicTime.read());
        this.quarantine = new CrashQuarantine(settings.vm().name(), notice -> CrashVerdictExchange.send(mesh, notice));
        mesh.addListener(CrashVerdictExchange.receiver(quarantine));
        OutcomeRegistry registry = new OutcomeRegistry(settings.vm().name(), MonotonicTime.read());
        this.outcomes = new OutcomeExchange(self, mesh, registry, idempotency, this::failureDomains);
        mesh.addListener(outcomes);
        this.outcomeStart = OutcomeStart.begin(self, platform, registry);
        ShareTable shares = ShareTable.empty(ShareSettings.defaults(), incarnation);
        this.gate = ShareGate.start(mesh, shares, ShareSettings.defaults());
        mesh.addListener(gate);
        this.homeShare = HomeShareFeed.start(self, settings, platform, shares, this::failureDomains);
        this.server = StrictHttpServer.of(this::define);
        configuration.addListener(this::installed);
    }

    /**
     * Starts an entry process: it listens for peers and callers, and is ready once it has a configuration.
     *
     * @param settings its settings
     * @return the running process
     * @throws Exception where an address is taken or Ratpack can't start
     */
    public static EntryNode start(EntrySettings settings) throws Exception {
        EntryNode node = new EntryNode(settings);
        node.server.start();
        LOG.event(
                "started",
                "vm",
                settings.vm().name(),
                "failure_domain",
                settings.vm().failureDomain());
        return node;
    }

    private void define(RatpackServerSpec spec) throws Exception {
        HealthHandlers health = new HealthHandlers(
                settings.vm(), configuration, this::hasWhatItServesBy, plannedStop::phase, running, metrics);
        spec.serverConfig(serverConfig())
                .registry(base -> Registry.single(loadExchange(base.get(ExecController.class))))
                .handlers(chain -> chain.insert(health).all(callerHandler(chain.getRegistry())));
    }

    private LoadExchange loadExchange(ExecController executions) throws Exception {
        return new LoadExchange(settings.vm(), configuration, upstreams, EngineReports.create(executions), mesh);
    }

    private CallerHandler callerHandler(Registry registry) throws Exception {
        return new CallerHandler(parts(UpstreamClient.create(registry.get(ExecController.class))));
    }

    private ServerConfigBuilder serverConfig() throws Exception {
        CallerSettings callers = settings.callers();
        return ServerConfig.builder()
                .address(new InetSocketAddress(callers.address(), callers.port()).getAddress())
                .port(callers.port())
                .development(false)
                .registerShutdownHook(false)
                .maxInitialLineLength(Math.min(MAXIMUM_LINE_BYTES, callers.maximumHeaderBytes()))
                .maxHeaderSize(callers.maximumHeaderBytes())
                .maxContentLength(callers.maximumBodyBytes())
                .idleTimeout(callers.idleTimeout());
    }

    private EntryParts parts(UpstreamClient client) {
        RetryBudget budget = new RetryBudget();
        return new EntryParts(
                settings,
                () -> configuration.current().filter(any -> feed.isReady()).map(EntryNode::inForce),
                feed::sinceContact,
                () -> plannedStop.phase().closesConnections(),
                gate,
                upstreams,
                new Router(upstreams, RoutingPolicy.standard(), RandomGenerator.of("SplittableRandom")),
                new RetryPolicy(budget),
                budget,
                quarantine,
                idempotency,
                outcomes,
                client,
                running,
                metrics);
    }

    private Set<FailureDomain> failureDomains() {
        return configuration.current().stream()
                .flatMap(installed -> installed.configuration().upstreams().values().stream())
                .map(Upstream::failureDomain)
                .collect(Collectors.toUnmodifiableSet());
    }

    private static InForce inForce(InstalledConfiguration installed) {
        return new InForce(installed.configuration(), installed.keys());
    }

    private void installed(InstalledConfiguration inForce) {
        upstreams.install(inForce.configuration().upstreams().values());
        gate.install(inForce.configuration(), MonotonicTime.read());
        int ended = running.abortWhereKeyIsNotInForce(
                digest -> inForce.configuration().keys().containsKey(digest));
        LOG.event("configuration_in_force", "revision", inForce.revision(), "requests_ended", ended);
    }

    private boolean hasWhatItServesBy() {
        return feed.isReady() && homeShare.hasAsked();
    }

    private void entered(DrainPhase phase) {
        if (!phase.acceptsConnections()) {
            server.closeListener();
        }
    }

    /**
     * Stops without cutting a request, and returns when all is ended.
     *
     * @throws Exception where Ratpack can't stop
     */
    public void stopGracefully() throws Exception {
        plannedStop.run();
        running.abortAll("this VM stops");
        Thread.sleep(FLUSH_MILLISECONDS);
        server.stop();
        drainWatch.close();
        homeShare.close();
        gate.close();
        leavingWatch.close();
        outcomeStart.close();
        feed.close();
        platform.close();
        mesh.close();
        LOG.event("stopped", "vm", settings.vm().name());
    }

    /**
     * Has an action run once when operators ask this VM to drain.
     *
     * @param action typically ends the process by way of {@link #stopGracefully()}; must not wait for it
     */
    public void whenAskedToDrain(Runnable action) {
        whenAskedToDrain = action;
    }

    /**
     * Returns the port on which callers are served.
     *
     * @return the port, also where the settings left it to the system
     */
    public int callerPort() {
        return server.getBindPort();
    }

    /**
     * Returns how long ago the configuration was last confirmed.
     *
     * @param now the present time
     * @return the duration
     */
    public Duration sinceContact(MonotonicTime now) {
        return feed.sinceContact(now);
    }

    /**
     * Returns the revision in force.
     *
     * @return the revision, or empty before the first
     */
    public Optional<Long> revision() {
        return configuration.current().map(InstalledConfiguration::revision);
    }
}
