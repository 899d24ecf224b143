package org.pollenhoist.serving.node;

import java.util.Collection;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.limit.FleetRateLimiter;
import org.pollenhoist.serving.placement.DemandTracker;
import org.pollenhoist.serving.placement.Leadership;
import org.pollenhoist.serving.placement.PlacementDriver;
import org.pollenhoist.serving.request.RequestQueue;
import org.pollenhoist.serving.store.StoreMirror;
import org.pollenhoist.serving.store.StoreRevision;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamTable;
import org.pollenhoist.vm.generated.VmDigest;

/** Provides this VM's state to the digest exchange and handles the changes that peers report. */
final class LocalVmState implements DigestExchange.LocalVm {

    private final ServingSettings settings;
    private final DigestCodec codec;
    private final StoreMirror mirror;
    private final Supplier<StoreRevision> configurationRevision;
    private final FleetRateLimiter limits;
    private final UpstreamTable upstreams;
    private final DemandTracker demand;
    private final RequestQueue queue;
    private final PlacementDriver placement;
    private final Leadership leadership;
    private final CrashTracking crashes;
    private final BooleanSupplier isStopping;
    private final BooleanSupplier isForwarding;
    private final Consumer<MonotonicTime> onModelRequests;

    LocalVmState(
            ServingSettings settings,
            long incarnation,
            StoreMirror mirror,
            Supplier<StoreRevision> configurationRevision,
            FleetRateLimiter limits,
            UpstreamTable upstreams,
            DemandTracker demand,
            RequestQueue queue,
            PlacementDriver placement,
            Leadership leadership,
            CrashTracking crashes,
            BooleanSupplier isStopping,
            BooleanSupplier isForwarding,
            Consumer<MonotonicTime> onModelRequests) {
        this.settings = settings;
        this.codec = new DigestCodec(settings.vmName(), settings.failureDomain(), incarnation, settings.linkMegabits());
        this.mirror = mirror;
        this.configurationRevision = configurationRevision;
        this.limits = limits;
        this.upstreams = upstreams;
        this.demand = demand;
        this.queue = queue;
        this.placement = placement;
        this.leadership = leadership;
        this.crashes = crashes;
        this.isStopping = isStopping;
        this.isForwarding = isForwarding;
        this.onModelRequests = onModelRequests;
    }

    @Override
    public VmDigest createDigest(long sequence, boolean hasDemand, Collection<Upstream> engines, MonotonicTime now) {
        VmDigest digest = codec.write(
                sequence,
                mirror.revision(),
                mirror.isCurrent(now),
                limits.report(now),
                upstreams.all(),
                hasDemand ? Optional.of(demand.demand(now)) : Optional.empty(),
                queue.modelRequests(),
                placement.isSendingOrders(now),
                isStopping.getAsBoolean(),
                isForwarding.getAsBoolean(),
                engines,
                leadership.resignation(),
                leadership.highestKnownToken(),
                crashes,
                now);
        return DigestCodec.withDepartures(
                DigestCodec.withConfiguration(digest, configurationRevision.get()), upstreams.recentDepartures(now));
    }

    @Override
    public String vmName() {
        return settings.vmName();
    }

    @Override
    public boolean hasUrgentNotices(MonotonicTime now) {
        boolean hasResigned = leadership.resignation().isPresent() && leadership.isVacant();
        return hasResigned || crashes.hasNews(now);
    }

    @Override
    public String failureDomain() {
        return settings.failureDomain();
    }

    @Override
    public int linkMegabits() {
        return settings.linkMegabits();
    }

    @Override
    public Collection<Upstream> engines() {
        return upstreams.all();
    }

    @Override
    public boolean isSendingOrders(MonotonicTime now) {
        return placement.isSendingOrders(now);
    }

    @Override
    public void onResidentModelsChanged(MonotonicTime now) {
        queue.tryStartAll(now);
    }

    @Override
    public void onPeerModelRequests(MonotonicTime now) {
        onModelRequests.accept(now);
    }
}
