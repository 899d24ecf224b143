package org.pollenhoist.entry;

import java.time.Duration;
import java.util.List;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.configuration.ConfigurationTable;
import org.pollenhoist.configuration.Upstream;
import org.pollenhoist.routing.UpstreamTable;
import org.pollenhoist.upstream.EngineReports;
import ratpack.exec.Execution;
import ratpack.service.Service;
import ratpack.service.StartEvent;
import ratpack.service.StopEvent;

/** Asks the engines for their load again and again while the server runs. */
final class ReportPoller implements Service {

    private static final Duration INTERVAL = Duration.ofMillis(500);

    private static final DecisionLog LOG = DecisionLog.of("upstream");

    private final ConfigurationTable configuration;

    private final UpstreamTable upstreams;

    private final EngineReports reports;

    private volatile boolean isStopped;

    ReportPoller(ConfigurationTable configuration, UpstreamTable upstreams, EngineReports reports) {
        this.configuration = configuration;
        this.upstreams = upstreams;
        this.reports = reports;
    }

    @Override
    public void onStart(StartEvent event) {
        Execution.fork().start(execution -> round());
    }

    @Override
    public void onStop(StopEvent event) {
        isStopped = true;
    }

    private void round() {
        if (isStopped) {
            return;
        }
        for (Upstream engine : engines()) {
            Execution.fork()
                    .onError(failure -> LOG.event("report_missed", "upstream", engine.name(), "reason", failure))
                    .start(execution ->
                            reports.read(engine).then(report -> upstreams.recordReport(report, MonotonicTime.read())));
        }
        Execution.sleep(INTERVAL, this::round);
    }

    private List<Upstream> engines() {
        return configuration.current().stream()
                .flatMap(installed -> installed.configuration().upstreams().values().stream())
                .filter(upstream -> upstream.kind() == Upstream.Kind.ENGINE)
                .toList();
    }
}
