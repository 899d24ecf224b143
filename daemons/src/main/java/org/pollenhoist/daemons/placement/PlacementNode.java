package org.pollenhoist.daemons.placement;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.configuration.ConfigurationPeer;
import org.pollenhoist.configuration.ConfigurationTable;
import org.pollenhoist.configuration.InstalledConfiguration;
import org.pollenhoist.placement.CoordinatorSettings;
import org.pollenhoist.placement.DemandDrivenPolicy;
import org.pollenhoist.placement.PlacementCoordinator;
import org.pollenhoist.placement.PolicySettings;
import org.pollenhoist.placement.RoundInput;
import org.pollenhoist.platform.ConfigurationWatcher;
import org.pollenhoist.platform.HttpPlatformService;
import org.pollenhoist.settings.PlacementSettings;
import org.pollenhoist.upstream.HttpEngineControl;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;
import ratpack.server.ServerConfig;

/** A placement process: rounds on one thread, metrics and health on one Ratpack server. */
final class PlacementNode {

    private static final DecisionLog LOG = DecisionLog.of("placement");
    private static final Duration ROUND_INTERVAL = Duration.ofSeconds(1);
    private static final Duration ENGINE_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(10);
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final PlacementSettings settings;
    private final ConfigurationTable configuration = new ConfigurationTable();
    private final HttpPlatformService platform;
    private final ConfigurationWatcher watcher;
    private final HttpEngineControl engines = new HttpEngineControl(ENGINE_TIMEOUT);
    private final EntryDemand demand;
    private final PlacementCoordinator coordinator;
    private final PlacementMetrics metrics = new PlacementMetrics();
    private final ScheduledExecutorService rounds = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().name("placement-rounds").factory());
    private final RatpackServer server;
    private volatile boolean isStopping;

    private PlacementNode(PlacementSettings settings) throws Exception {
        this.settings = settings;
        this.platform = HttpPlatformService.at(
                new InetSocketAddress(
                        settings.platform().address(), settings.platform().port()),
                settings.platform().timeout(),
                settings.vm().failureDomain());
        ConfigurationPeer self =
                new ConfigurationPeer(settings.vm().name(), settings.vm().failureDomain());
        this.watcher = ConfigurationWatcher.start(self, 1, configuration, platform, (peer, frame) -> {});
        watcher.peersChanged(List.of());
        this.demand = new EntryDemand(platform, settings.vm().failureDomain());
        String process = settings.vm().name() + "-" + Long.toHexString(new SecureRandom().nextLong());
        this.coordinator = new PlacementCoordinator(
                settings.vm().failureDomain(),
                process,
                platform,
                engines,
                new DemandDrivenPolicy(PolicySettings.standard()),
                CoordinatorSettings.standard());
        this.server = RatpackServer.of(spec -> spec.serverConfig(ServerConfig.builder()
                        .address(InetAddress.getByName(settings.metrics().address()))
                        .port(settings.metrics().port())
                        .development(false)
                        .registerShutdownHook(false)
                        .threads(1))
                .handlers(this::handlers));
    }

    static PlacementNode start(PlacementSettings settings) throws Exception {
        PlacementNode node = new PlacementNode(settings);
        node.server.start();
        node.rounds.scheduleWithFixedDelay(node::round, 0, ROUND_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        LOG.event(
                "started",
                "vm",
                settings.vm().name(),
                "failure_domain",
                settings.vm().failureDomain());
        return node;
    }

    private void handlers(Chain chain) {
        chain.get("health/live", context -> context.getResponse().send("live\n"));
        chain.get("health/ready", this::ready);
        chain.get("metrics", context -> {
            context.getResponse().contentType("text/plain; version=0.0.4; charset=utf-8");
            context.getResponse().send(metrics.exposition());
        });
    }

    private void ready(Context context) {
        boolean isReady = !isStopping && configuration.current().isPresent();
        context.getResponse().status(isReady ? OK : UNAVAILABLE).send(isReady ? "ready\n" : "not ready\n");
    }

    private void round() {
        try {
            Optional<InstalledConfiguration> installed = configuration.current();
            if (installed.isEmpty() || isStopping) {
                return;
            }
            MonotonicTime now = MonotonicTime.read();
            RoundInput input = new RoundInput(
                    installed.get().configuration(), installed.get().revision(), demand.measure(now));
            PlacementCoordinator.RoundResult result = coordinator.round(input, MonotonicTime.read());
            metrics.observe(result, MonotonicTime.read().secondsSince(now));
        } catch (RuntimeException failure) {
            LOG.event("round_failed", "vm", settings.vm().name(), "reason", failure);
        }
    }

    void stopGracefully() throws Exception {
        isStopping = true;
        rounds.submit(coordinator::stop);
        rounds.shutdown();
        boolean isEnded = rounds.awaitTermination(STOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        watcher.close();
        server.stop();
        engines.close();
        platform.close();
        LOG.event("stopped", "vm", settings.vm().name(), "reason", isEnded ? "asked" : "round_did_not_end");
    }
}
