package org.pollenhoist.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.pollenhoist.caller.EntryMetrics;
import org.pollenhoist.caller.RunningRequests;
import org.pollenhoist.configuration.ConfigurationTable;
import org.pollenhoist.request.DrainPhase;
import org.pollenhoist.settings.VmSettings;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/** What the balancer, the supervisor and operators ask of an entry process. */
final class HealthHandlers implements Action<Chain> {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final int OK = 200;

    private static final int UNAVAILABLE = 503;

    private final VmSettings vm;

    private final ConfigurationTable configuration;

    private final BooleanSupplier hasConfiguration;

    private final Supplier<DrainPhase> phase;

    private final RunningRequests running;

    private final EntryMetrics metrics;

    HealthHandlers(
            VmSettings vm,
            ConfigurationTable configuration,
            BooleanSupplier hasConfiguration,
            Supplier<DrainPhase> phase,
            RunningRequests running,
            EntryMetrics metrics) {
        this.vm = vm;
        this.configuration = configuration;
        this.hasConfiguration = hasConfiguration;
        this.phase = phase;
        this.running = running;
        this.metrics = metrics;
    }

    @Override
    public void execute(Chain chain) throws Exception {
        chain.get("health/live", context -> context.getResponse().send("live\n"));
        chain.get("health/ready", this::ready);
        chain.get("metrics", this::metrics);
        chain.get("internal/status", this::status);
    }

    private boolean isReady() {
        return phase.get().isReady() && hasConfiguration.getAsBoolean();
    }

    private void ready(Context context) {
        context.getResponse().status(isReady() ? OK : UNAVAILABLE).send(isReady() ? "ready\n" : "not ready\n");
    }

    private void metrics(Context context) {
        metrics.setRevision(configuration.revision());
        metrics.setRunning(running.count());
        context.getResponse().contentType("text/plain; version=0.0.4; charset=utf-8");
        context.getResponse().send(metrics.exposition());
    }

    private void status(Context context) {
        ObjectNode status = MAPPER.createObjectNode()
                .put("vm", vm.name().value())
                .put("failure_domain", vm.failureDomain().value())
                .put("revision", configuration.revision())
                .put("ready", isReady())
                .put("draining", phase.get() != DrainPhase.SERVING)
                .put("phase", phase.get().text())
                .put("running", running.count());
        context.getResponse().contentType("application/json");
        context.getResponse().send(status.toString().getBytes(StandardCharsets.UTF_8));
    }
}
