package org.pollenhoist.entry;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.common.VmName;
import org.pollenhoist.configuration.ConfigurationTable;
import org.pollenhoist.configuration.Upstream;
import org.pollenhoist.routing.PollerAssignment;
import org.pollenhoist.routing.PollingPlan;
import org.pollenhoist.routing.UpstreamReport;
import org.pollenhoist.routing.UpstreamTable;
import org.pollenhoist.settings.VmSettings;
import org.pollenhoist.upstream.EngineReports;
import org.pollenhoist.vm.LoadDigestReader;
import org.pollenhoist.vm.LoadDigestWriter;
import org.pollenhoist.vm.Peer;
import org.pollenhoist.vm.PeerListener;
import org.pollenhoist.vm.PeerMesh;
import org.pollenhoist.vm.generated.Frame;
import ratpack.exec.Execution;
import ratpack.service.Service;
import ratpack.service.StartEvent;
import ratpack.service.StopEvent;

/**
 * Keeps the load of all engines known: asks its part of them, tells the peers, and takes in what peers tell.
 *
 * <p>Rounds run one after the other in one execution; reports arrive on any thread, so the tables are concurrent.
 */
final class LoadExchange implements Service, PeerListener {

    private static final DecisionLog LOG = DecisionLog.of("upstream");

    private final VmSettings self;

    private final ConfigurationTable configuration;

    private final UpstreamTable upstreams;

    private final EngineReports reports;

    private final PeerMesh mesh;

    private final LoadDigestWriter writer = new LoadDigestWriter();

    private final Map<UpstreamName, LoadDigestWriter.Polled> polled = new ConcurrentHashMap<>();

    private final Map<UpstreamName, MonotonicTime> lastHeard = new ConcurrentHashMap<>();

    /** Used by the mesh's one thread only. */
    private final Map<Peer, LoadDigestReader> readers = new HashMap<>();

    private volatile boolean isStopped;

    LoadExchange(
            VmSettings self,
            ConfigurationTable configuration,
            UpstreamTable upstreams,
            EngineReports reports,
            PeerMesh mesh) {
        this.self = self;
        this.configuration = configuration;
        this.upstreams = upstreams;
        this.reports = reports;
        this.mesh = mesh;
    }

    @Override
    public void onStart(StartEvent event) {
        mesh.addListener(this);
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
        MonotonicTime now = MonotonicTime.read();
        List<Upstream> engines = engines();
        Map<VmName, FailureDomain> vms = vms();
        List<Upstream> mine = new PollingPlan(self.name(), vms).toPoll(engines, lastHeard, now);
        polled.keySet().retainAll(mine.stream().map(Upstream::name).toList());
        mine.forEach(this::poll);
        tellPeers(now);
        Execution.sleep(interval(vms, engines), this::round);
    }

    private void poll(Upstream engine) {
        Execution.fork()
                .onError(failure -> LOG.event("report_missed", "upstream", engine.name(), "reason", failure))
                .start(execution -> reports.read(engine).then(report -> take(report, MonotonicTime.read())));
    }

    private void take(UpstreamReport report, MonotonicTime now) {
        polled.put(report.upstream(), new LoadDigestWriter.Polled(report, now));
        record(report, now);
    }

    private void record(UpstreamReport report, MonotonicTime now) {
        lastHeard.put(report.upstream(), now.plus(report.age().negated()));
        upstreams.recordReport(report, now);
    }

    private void tellPeers(MonotonicTime now) {
        Collection<LoadDigestWriter.Polled> known = List.copyOf(polled.values());
        if (known.isEmpty()) {
            return;
        }
        Frame frame = Frame.newBuilder().setLoadDigest(writer.write(known, now)).build();
        mesh.connectedPeers().forEach(peer -> mesh.send(peer, frame));
    }

    @Override
    public void onFrame(Peer sender, Frame frame, MonotonicTime now) {
        if (frame.hasLoadDigest()) {
            readers.computeIfAbsent(sender, peer -> new LoadDigestReader())
                    .read(frame.getLoadDigest())
                    .forEach(report -> record(report, now));
        }
    }

    @Override
    public void onDisconnected(Peer peer, MonotonicTime now) {
        readers.remove(peer);
    }

    private Map<VmName, FailureDomain> vms() {
        Map<VmName, FailureDomain> vms = new HashMap<>();
        mesh.peers().forEach(peer -> vms.put(peer.vm(), peer.failureDomain()));
        vms.put(self.name(), self.failureDomain());
        return vms;
    }

    private Duration interval(Map<VmName, FailureDomain> vms, List<Upstream> engines) {
        return PollerAssignment.digestInterval(vms.size(), engines.size());
    }

    private List<Upstream> engines() {
        return configuration.current().stream()
                .flatMap(installed -> installed.configuration().upstreams().values().stream())
                .filter(upstream -> upstream.kind() == Upstream.Kind.ENGINE)
                .toList();
    }
}
