package org.pollenhoist.serving.node;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.request.CrashQuarantine;
import org.pollenhoist.serving.limit.FleetLimits;
import org.pollenhoist.serving.peer.PeerExchange;
import org.pollenhoist.serving.peer.PeerReport;
import org.pollenhoist.serving.placement.DemandRates;
import org.pollenhoist.serving.upstream.PeerUse;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamNotices;
import org.pollenhoist.serving.upstream.UpstreamTable;
import org.pollenhoist.vm.CrashVerdictExchange;
import org.pollenhoist.vm.generated.VmDigest;

/** Tells peers the state of this VM and takes theirs over. Confined to the event loop. */
final class DigestExchange {

    /** How often peers are told the state of this VM. */
    private static final Duration INTERVAL = Duration.ofMillis(250);

    /** How often peers in other failure domains are told, where bytes between them are paid for and no team presses. */
    private static final Duration OTHER_DOMAIN_INTERVAL = Duration.ofMillis(500);

    /** How often peers are told what all engines hold, beside what has changed. */
    private static final Duration HOLDINGS_INTERVAL = Duration.ofSeconds(1);

    /** How often the VM that orders is told the demand for models, which moves within seconds. */
    private static final Duration DEMAND_INTERVAL = Duration.ofMillis(500);

    /** Shortest time between two digests. */
    private static final Duration PAUSE = Duration.ofMillis(4);

    /** Shortest time between two digests on spending: what is admitted within it is a small part of a second's rate. */
    private static final Duration SPENDING_PAUSE = Duration.ofMillis(20);

    /** Where the state comes from and goes to. */
    interface Parts {

        /** Describes this VM now. */
        VmDigest describe(long sequence, boolean hasDemand, Collection<Upstream> engines, MonotonicTime now);

        /** The failure domain of this VM. */
        String failureDomain();

        /** All engines and other upstreams that are known. */
        Collection<Upstream> engines();

        /** Whether this VM orders models, so that its own knowledge of the engines is the best. */
        boolean isOrdering(MonotonicTime now);

        /** What engines hold has changed. */
        void onHoldings(MonotonicTime now);

        /** A peer's requests wait for models or adapters. */
        void onWants(MonotonicTime now);
    }

    private final EventLoop loop;
    private final Supplier<MonotonicTime> clock;
    private final PeerExchange peers;
    private final UpstreamTable upstreams;
    private final UpstreamNotices notices;
    private final FleetLimits limits;
    private final DemandRates demandRates;
    private final CrashQuarantine quarantine;
    private final Parts parts;
    private long sequence;
    private MonotonicTime sentAt;
    private MonotonicTime farSentAt;
    private MonotonicTime holdingsSentAt;
    private MonotonicTime demandSentAt;
    private final Set<Upstream> changedEngines = new LinkedHashSet<>();
    private boolean isScheduled;

    DigestExchange(
            EventLoop loop,
            Supplier<MonotonicTime> clock,
            PeerExchange peers,
            UpstreamTable upstreams,
            UpstreamNotices notices,
            FleetLimits limits,
            DemandRates demandRates,
            CrashQuarantine quarantine,
            Parts parts) {
        this.loop = loop;
        this.clock = clock;
        this.peers = peers;
        this.upstreams = upstreams;
        this.notices = notices;
        this.limits = limits;
        this.demandRates = demandRates;
        this.quarantine = quarantine;
        this.parts = parts;
        this.sentAt = clock.get();
        this.farSentAt = sentAt;
        this.holdingsSentAt = sentAt;
        this.demandSentAt = sentAt;
    }

    void tick(MonotonicTime now) {
        if (now.since(sentAt).compareTo(INTERVAL) < 0) {
            return;
        }
        boolean isFarDue = now.since(farSentAt).compareTo(OTHER_DOMAIN_INTERVAL) >= 0;
        if (isFarDue || limits.isPressed(now)) {
            send(now);
        } else {
            sentAt = now;
            peers.sendWithin(parts.failureDomain(), parts.describe(++sequence, false, List.of(), now));
        }
    }

    /** Sends what is due to all: demand to the VM that orders, and what engines hold to everyone. */
    void send(MonotonicTime now) {
        sentAt = now;
        farSentAt = now;
        Set<Upstream> announced = new LinkedHashSet<>(changedEngines);
        changedEngines.clear();
        if (now.since(holdingsSentAt).compareTo(HOLDINGS_INTERVAL) >= 0) {
            holdingsSentAt = now;
            announced.addAll(parts.engines());
        }
        if (now.since(demandSentAt).compareTo(DEMAND_INTERVAL) >= 0) {
            demandSentAt = now;
            orderingVm(now).ifPresent(vm -> peers.sendTo(parts.describe(++sequence, true, List.of(), now), vm));
        }
        peers.send(parts.describe(++sequence, false, announced, now));
        limits.markReported();
    }

    /** All peers learn at once what an engine holds now. */
    void announceHoldings(Upstream engine) {
        changedEngines.add(engine);
        sendSoon(PAUSE);
    }

    /** All peers learn at once that an upstream leaves. */
    void announceLeaving() {
        sendSoon(PAUSE);
    }

    /** All peers learn at once what teams have spent here. */
    void announceSpending() {
        sendSoon(SPENDING_PAUSE);
    }

    private void sendSoon(Duration pause) {
        if (isScheduled) {
            return;
        }
        isScheduled = true;
        Duration due = pause.minus(clock.get().since(sentAt));
        loop.schedule(
                () -> {
                    isScheduled = false;
                    send(clock.get());
                },
                Math.max(0, due.toMillis()),
                TimeUnit.MILLISECONDS);
    }

    /** The VM that orders learns at once what is waited for here; all others have no use for it. */
    void tellOrderingVm() {
        MonotonicTime now = clock.get();
        orderingVm(now).ifPresent(vm -> peers.sendTo(parts.describe(++sequence, false, List.of(), now), vm));
    }

    private Optional<String> orderingVm(MonotonicTime now) {
        return peers.heard(now).stream()
                .filter(report -> report.digest().getIsPlacing())
                .map(report -> report.digest().getVmName())
                .findFirst();
    }

    void hear(PeerReport report) {
        MonotonicTime now = report.heardAt();
        VmDigest digest = report.digest();
        limits.hear(
                digest.getVmName(),
                digest.getIncarnation(),
                digest.getSpendingList().stream()
                        .map(spending -> new FleetLimits.Spending(
                                spending.getTeam(), spending.getAdmittedTokens(), spending.getLevelTokens()))
                        .toList(),
                now);
        hearUses(report);
        digest.getLeavingUpstreamsList()
                .forEach(leaving -> notices.hearFromPeer(
                        leaving.getUpstream(), leaving.getStartedMilliseconds(), digest.getVmName()));
        digest.getCrashVerdictsList()
                .forEach(verdict -> quarantine.receive(CrashVerdictExchange.fromMessage(verdict), now));
        DigestWriter.demand(digest).ifPresent(demand -> demandRates.hear(digest.getVmName(), demand, now));
        boolean isOrdering = parts.isOrdering(now);
        if (digest.getHoldingsCount() > 0 && !isOrdering) {
            DigestWriter.applyHoldings(digest, upstreams, now);
            parts.onHoldings(now);
        }
        if (digest.getWantsCount() > 0 && isOrdering) {
            parts.onWants(now);
        }
    }

    private void hearUses(PeerReport report) {
        String vm = report.digest().getVmName();
        upstreams.all().forEach(upstream -> upstream.hear(vm, new PeerUse(0, 0, 0, report.heardAt())));
        report.digest()
                .getUpstreamUsesList()
                .forEach(use -> upstreams
                        .findByTag(use.getUpstreamTag())
                        .ifPresent(upstream -> upstream.hear(
                                vm,
                                new PeerUse(
                                        use.getRunning(),
                                        use.getUnreadTokens(),
                                        use.getReservedTokens(),
                                        report.heardAt()))));
    }
}
