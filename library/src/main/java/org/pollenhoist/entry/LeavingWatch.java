package org.pollenhoist.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.platform.ListedVm;
import org.pollenhoist.platform.PlatformService;
import org.pollenhoist.routing.LeavingLists;
import org.pollenhoist.routing.UpstreamTable;
import org.pollenhoist.settings.VmSettings;
import org.pollenhoist.vm.Peer;
import org.pollenhoist.vm.PeerListener;
import org.pollenhoist.vm.PeerMesh;
import org.pollenhoist.vm.generated.Frame;
import org.pollenhoist.vm.generated.LeavingUpstreams;
import org.pollenhoist.vm.generated.LoadDigest;

/** Keeps new work from upstreams that the platform lists as leaving: a few VMs of each domain read, all are told. */
final class LeavingWatch implements PeerListener, AutoCloseable {

    /** With the list's own lag this keeps new work from a leaving upstream after a few seconds. */
    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private static final DecisionLog LOG = DecisionLog.of("platform");

    private final VmSettings self;

    private final PlatformService platform;

    private final UpstreamTable upstreams;

    private final PeerMesh mesh;

    private final LeavingLists lists = new LeavingLists();

    private final DomainReaders readers;

    private final ScheduledExecutorService ticker;

    private LeavingWatch(VmSettings self, PlatformService platform, UpstreamTable upstreams, PeerMesh mesh) {
        this.self = self;
        this.platform = platform;
        this.upstreams = upstreams;
        this.mesh = mesh;
        this.readers = new DomainReaders(self, mesh);
        this.ticker = Executors.newSingleThreadScheduledExecutor(
                Thread.ofPlatform().daemon().name("leaving-watch").factory());
    }

    static LeavingWatch start(VmSettings self, PlatformService platform, UpstreamTable upstreams, PeerMesh mesh) {
        LeavingWatch watch = new LeavingWatch(self, platform, upstreams, mesh);
        mesh.addListener(watch);
        watch.ticker.scheduleWithFixedDelay(watch::round, 0, INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        return watch;
    }

    private void round() {
        try {
            if (readers.isOneOfThem()) {
                read().ifPresent(this::take);
            }
            upstreams.installLeavingList(lists.leaving(MonotonicTime.read()));
        } catch (RuntimeException fault) {
            LOG.event("vm_list_round_failed", "reason", fault);
        }
    }

    private Optional<Set<UpstreamName>> read() {
        try {
            return Optional.of(platform.listVms().stream()
                    .filter(ListedVm::isLeaving)
                    .map(vm -> UpstreamName.of(vm.name()))
                    .collect(Collectors.toUnmodifiableSet()));
        } catch (PollenhoistException unavailable) {
            LOG.event("vm_list_missed", "reason", unavailable.getMessage());
            return Optional.empty();
        }
    }

    private void take(Set<UpstreamName> leaving) {
        lists.record(self.name(), leaving, MonotonicTime.read());
        LeavingUpstreams.Builder names = LeavingUpstreams.newBuilder();
        leaving.forEach(upstream -> names.addNames(upstream.value()));
        Frame frame = Frame.newBuilder()
                .setLoadDigest(LoadDigest.newBuilder().setLeaving(names))
                .build();
        mesh.connectedPeers().forEach(peer -> mesh.send(peer, frame));
    }

    @Override
    public void onFrame(Peer sender, Frame frame, MonotonicTime now) {
        if (frame.hasLoadDigest() && frame.getLoadDigest().hasLeaving()) {
            Set<UpstreamName> leaving = frame.getLoadDigest().getLeaving().getNamesList().stream()
                    .map(UpstreamName::of)
                    .collect(Collectors.toUnmodifiableSet());
            lists.record(sender.vm(), leaving, now);
        }
    }

    @Override
    public void close() {
        ticker.shutdownNow();
    }
}
