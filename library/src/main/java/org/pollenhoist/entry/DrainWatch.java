package org.pollenhoist.entry;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.operator.VmDrain;
import org.pollenhoist.platform.PlatformService;
import org.pollenhoist.platform.StoredValue;
import org.pollenhoist.settings.VmSettings;
import org.pollenhoist.vm.Peer;
import org.pollenhoist.vm.PeerListener;
import org.pollenhoist.vm.PeerMesh;
import org.pollenhoist.vm.generated.Frame;
import org.pollenhoist.vm.generated.LeavingNotice;

/**
 * Finds operators' requests to drain a VM. A few VMs of each failure domain read the records and tell the VM that is
 * meant; that VM removes its record, so that its successor of the same name does not drain at once.
 */
final class DrainWatch implements PeerListener, AutoCloseable {

    private static final Duration INTERVAL = Duration.ofSeconds(2);

    private static final DecisionLog LOG = DecisionLog.of("operator");

    private final VmSettings self;

    private final PlatformService platform;

    private final PeerMesh mesh;

    private final Runnable onDrain;

    private final AtomicBoolean isAsked = new AtomicBoolean();

    private final DomainReaders readers;

    private final ScheduledExecutorService ticker;

    private DrainWatch(VmSettings self, PlatformService platform, PeerMesh mesh, Runnable onDrain) {
        this.self = self;
        this.platform = platform;
        this.mesh = mesh;
        this.onDrain = onDrain;
        this.readers = new DomainReaders(self, mesh);
        this.ticker = Executors.newSingleThreadScheduledExecutor(
                Thread.ofPlatform().daemon().name("drain-watch").factory());
    }

    static DrainWatch start(VmSettings self, PlatformService platform, PeerMesh mesh, Runnable onDrain) {
        DrainWatch watch = new DrainWatch(self, platform, mesh, onDrain);
        mesh.addListener(watch);
        watch.ticker.scheduleWithFixedDelay(
                watch::round, INTERVAL.toMillis(), INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        return watch;
    }

    private void round() {
        try {
            if (readers.isOneOfThem()) {
                platform.list(VmDrain.PREFIX).values().forEach(this::found);
            }
        } catch (PollenhoistException unavailable) {
            LOG.event("drain_records_missed", "reason", unavailable.getMessage());
        } catch (RuntimeException fault) {
            LOG.event("drain_round_failed", "reason", fault);
        }
    }

    private void found(StoredValue record) {
        VmDrain.vmOf(record.key()).ifPresent(vm -> {
            if (vm.equals(self.name())) {
                drain();
                return;
            }
            LeavingNotice notice =
                    LeavingNotice.newBuilder().setVmName(vm.value()).build();
            mesh.send(vm, Frame.newBuilder().setLeavingNotice(notice).build());
        });
    }

    @Override
    public void onFrame(Peer sender, Frame frame, MonotonicTime now) {
        boolean isMeant = frame.hasLeavingNotice()
                && frame.getLeavingNotice().getVmName().equals(self.name().value());
        if (isMeant) {
            ticker.execute(this::drain);
        }
    }

    private void drain() {
        if (!isAsked.compareAndSet(false, true)) {
            return;
        }
        LOG.event("drain_asked", "vm", self.name());
        try {
            VmDrain.take(platform, self.name());
        } catch (PollenhoistException unavailable) {
            LOG.event("drain_record_left", "vm", self.name(), "reason", unavailable.getMessage());
        }
        onDrain.run();
    }

    @Override
    public void close() {
        ticker.shutdownNow();
    }
}
