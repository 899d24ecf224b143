package org.pollenhoist.serving.node;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.request.CrashQuarantine;
import org.pollenhoist.serving.limit.FleetRateLimiter;
import org.pollenhoist.serving.peer.PeerExchange;
import org.pollenhoist.serving.peer.PeerReport;
import org.pollenhoist.serving.placement.DemandRates;
import org.pollenhoist.serving.placement.ModelRequest;
import org.pollenhoist.serving.placement.Timer;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamNoticeHandler;
import org.pollenhoist.serving.upstream.UpstreamTable;
import org.pollenhoist.vm.CrashVerdictExchange;
import org.pollenhoist.vm.generated.DomainSummary;
import org.pollenhoist.vm.generated.VmDigest;

/**
 * Tells peers the state of this VM and takes theirs over. Confined to the event loop.
 *
 * <p>In a small fleet all VMs tell everything to all others. In a large one they do so within their failure domain, and
 * one VM of each domain tells all VMs of the others the sums of its own; only what can't wait, what engines hold and
 * what the VM that orders has to know goes to others directly.
 */
final class DigestExchange {

    /** Largest fleet in which all VMs tell everything to all others. */
    private static final int LARGEST_MESH = 24;

    /** How often peers are told the state of this VM. */
    private static final Duration INTERVAL = Duration.ofMillis(250);

    /** Peers that are told that often; where there are more, each is told less often. */
    private static final int PEERS_AT_INTERVAL = 12;

    /** How often peers in other failure domains are told, where bytes between them are paid for and no team presses. */
    private static final Duration OTHER_DOMAIN_INTERVAL = Duration.ofMillis(500);

    /** How often other failure domains are told the sums of this one while a team presses on its limit. */
    private static final Duration PRESSED_SUMS_INTERVAL = Duration.ofMillis(200);

    /** How often peers are told what all engines hold, beside what has changed. */
    private static final Duration HOLDINGS_INTERVAL = Duration.ofSeconds(1);

    /** Parts in which a large fleet is told what all engines hold, one after the other. */
    private static final int HOLDINGS_PARTS = 4;

    /** How often the VM that orders is told the demand for models, which moves within seconds. */
    private static final Duration DEMAND_INTERVAL = Duration.ofMillis(500);

    /** Shortest time between two digests. */
    private static final Duration PAUSE = Duration.ofMillis(4);

    /** Shortest time between two digests on spending: what is admitted within it is a small part of a second's rate. */
    private static final Duration SPENDING_PAUSE = Duration.ofMillis(20);

    /** The same in a large fleet, where each such digest goes to more peers. */
    private static final Duration LARGE_FLEET_SPENDING_PAUSE = Duration.ofMillis(50);

    /** For how long news that all VMs need at once is told to all, since a datagram may be lost. */
    private static final Duration NEWS_REPEATED_FOR = Duration.ofMillis(1_200);

    /** A peer of the own failure domain that is silent for so long does not speak for it any more. */
    private static final Duration SPEAKER_SILENCE = Duration.ofSeconds(1);

    /** A peer that follows the store and is silent for so long is not relied on. */
    private static final Duration FOLLOWER_SILENCE = Duration.ofMillis(900);

    /** How much older than a VM's own report the sums of its failure domain may be. */
    private static final Duration SUMS_LAG = Duration.ofMillis(500);

    /** Where the state comes from and goes to. */
    interface Parts {

        /** Describes this VM now. */
        VmDigest describe(long sequence, boolean hasDemand, Collection<Upstream> engines, MonotonicTime now);

        /** The name of this VM. */
        String vmName();

        /** The failure domain of this VM. */
        String failureDomain();

        /** All engines and other upstreams that are known. */
        Collection<Upstream> engines();

        /** Whether this VM orders models, so that its own knowledge of the engines is the best. */
        boolean isOrdering(MonotonicTime now);

        /** Whether this VM's digest holds anything that VMs in all failure domains need soon. */
        boolean hasNewsForAll(MonotonicTime now);

        /** What engines hold has changed. */
        void onHoldings(MonotonicTime now);

        /** A peer's requests wait for models or adapters. */
        void onWants(MonotonicTime now);
    }

    private record HeardSummary(DomainSummary summary, MonotonicTime heardAt) {}

    private final Timer timer;
    private final Supplier<MonotonicTime> clock;
    private final PeerExchange peers;
    private final UpstreamTable upstreams;
    private final UpstreamNoticeHandler notices;
    private final FleetRateLimiter limits;
    private final DemandRates demandRates;
    private final CrashQuarantine quarantine;
    private final Parts parts;
    private final HeardUses peerUses;
    private final HeardUses domainUses;
    private final Map<String, HeardSummary> summaries = new HashMap<>();
    private final Set<Upstream> changedEngines = new LinkedHashSet<>();
    private long sequence;
    private int holdingsPart;
    private MonotonicTime sentAt;
    private MonotonicTime farSentAt;
    private MonotonicTime holdingsSentAt;
    private MonotonicTime demandSentAt;
    private MonotonicTime newsUntil;
    private boolean isScheduled;

    DigestExchange(
            Timer timer,
            Supplier<MonotonicTime> clock,
            PeerExchange peers,
            UpstreamTable upstreams,
            UpstreamNoticeHandler notices,
            FleetRateLimiter limits,
            DemandRates demandRates,
            CrashQuarantine quarantine,
            Parts parts) {
        this.timer = timer;
        this.clock = clock;
        this.peers = peers;
        this.upstreams = upstreams;
        this.notices = notices;
        this.limits = limits;
        this.demandRates = demandRates;
        this.quarantine = quarantine;
        this.parts = parts;
        this.peerUses = new HeardUses(upstreams, Upstream::updatePeerLoad, Upstream::removePeerLoad);
        this.domainUses = new HeardUses(upstreams, Upstream::updateDomainLoad, Upstream::removeDomainLoad);
        this.sentAt = clock.get();
        this.farSentAt = sentAt;
        this.holdingsSentAt = sentAt;
        this.demandSentAt = sentAt;
        this.newsUntil = sentAt;
    }

    private boolean isMesh() {
        return peers.peers().size() < LARGEST_MESH;
    }

    void tick(MonotonicTime now) {
        if (now.since(sentAt).compareTo(interval()) < 0) {
            return;
        }
        boolean isFarDue = now.since(farSentAt).compareTo(OTHER_DOMAIN_INTERVAL) >= 0;
        if (!isMesh() || isFarDue || limits.isNearLimit(now)) {
            send(now);
        } else {
            sentAt = now;
            peers.sendWithin(parts.failureDomain(), parts.describe(++sequence, false, List.of(), now));
        }
    }

    private Duration interval() {
        int near = isMesh() ? 0 : peers.peersIn(parts.failureDomain());
        return near <= PEERS_AT_INTERVAL
                ? INTERVAL
                : INTERVAL.multipliedBy(near).dividedBy(PEERS_AT_INTERVAL);
    }

    /** Sends what is due: demand to the VM that orders, what engines hold to everyone, and the state of this VM. */
    void send(MonotonicTime now) {
        sentAt = now;
        Set<Upstream> announced = new LinkedHashSet<>(changedEngines);
        changedEngines.clear();
        addHoldingsDue(announced, now);
        if (now.since(demandSentAt).compareTo(DEMAND_INTERVAL) >= 0) {
            demandSentAt = now;
            orderingVm(now).ifPresent(vm -> peers.sendTo(parts.describe(++sequence, true, List.of(), now), vm));
        }
        VmDigest digest = parts.describe(++sequence, false, announced, now);
        boolean isForAll =
                now.isBefore(newsUntil) || parts.hasNewsForAll(now) || (!announced.isEmpty() && parts.isOrdering(now));
        if (isMesh()) {
            farSentAt = now;
            peers.send(digest);
        } else if (isForAll) {
            peers.send(digest);
            speakWhereDue(now);
        } else {
            peers.sendWithin(parts.failureDomain(), digest);
            speakWhereDue(now);
        }
        limits.markReported();
    }

    private void addHoldingsDue(Set<Upstream> announced, MonotonicTime now) {
        if (now.since(holdingsSentAt).compareTo(HOLDINGS_INTERVAL) < 0) {
            return;
        }
        holdingsSentAt = now;
        holdingsPart = (holdingsPart + 1) % HOLDINGS_PARTS;
        int index = 0;
        for (Upstream engine : parts.engines()) {
            if (isMesh() || index++ % HOLDINGS_PARTS == holdingsPart) {
                announced.add(engine);
            }
        }
    }

    /** Tells other failure domains the sums of this one, where this VM speaks for it. */
    private void speakWhereDue(MonotonicTime now) {
        Duration due = limits.isNearLimit(now) ? PRESSED_SUMS_INTERVAL : OTHER_DOMAIN_INTERVAL;
        List<PeerReport> near = nearReports(SPEAKER_SILENCE, now);
        List<String> others = near.stream()
                .filter(report -> !report.digest().getIsStopping())
                .map(report -> report.digest().getVmName())
                .toList();
        boolean isSpeaker = DomainSpeaker.isSpeaker(parts.failureDomain(), parts.vmName(), others);
        if (!isSpeaker || now.since(farSentAt).compareTo(due) < 0) {
            return;
        }
        farSentAt = now;
        DomainSummary summary = DigestWriter.summarize(
                nearReports(PeerExchange.HEARD_FOR, now).size() + 1,
                near.size() + 1,
                limits.domainReport(now),
                upstreams.all(),
                now);
        VmDigest digest = parts.describe(++sequence, false, List.of(), now);
        peers.sendBeyond(parts.failureDomain(), DigestWriter.speakForDomain(digest, summary));
    }

    /** Whether this VM has to follow the store itself; in a small fleet all do. */
    boolean mustFollowStore(MonotonicTime now) {
        List<StoreFollowers.Peer> near = nearReports(FOLLOWER_SILENCE, now).stream()
                .filter(report -> !report.digest().getIsStopping())
                .map(report -> new StoreFollowers.Peer(
                        report.digest().getVmName(), report.digest().getFollowsStore()))
                .toList();
        return isMesh() || StoreFollowers.mustFollow(parts.failureDomain(), parts.vmName(), near);
    }

    /** Counts the VMs of the fleet that follow the store. */
    int storeFollowers() {
        return isMesh() ? peers.peers().size() + 1 : StoreFollowers.FOLLOWERS * peers.failureDomains();
    }

    /** Peers of the own failure domain that do not follow the store learn at once that it has changed. */
    void announceStoreRevision() {
        if (!isMesh()) {
            sendSoon(PAUSE);
        }
    }

    private List<PeerReport> nearReports(Duration within, MonotonicTime now) {
        return peers.heard(now).stream()
                .filter(report -> now.since(report.heardAt()).compareTo(within) < 0)
                .filter(report -> peers.peers().contains(report.digest().getVmName()))
                .filter(report -> isNear(report.digest()))
                .toList();
    }

    /** Whether a VM reports here for itself alone, and not through the sums of its failure domain. */
    private boolean isNear(VmDigest digest) {
        return isMesh() || digest.getFailureDomain().equals(parts.failureDomain());
    }

    /**
     * Counts the VMs of which a report was heard, each by itself or in the sums of its failure domain.
     *
     * @param within the greatest age of a report
     * @param now the present time
     * @return the number, this VM included
     */
    int countHeard(Duration within, MonotonicTime now) {
        int heard = 1 + nearReports(within, now).size();
        if (isMesh()) {
            return heard;
        }
        Duration sumsWithin = within.plus(SUMS_LAG);
        boolean isRecent = within.compareTo(SPEAKER_SILENCE) <= 0;
        return heard
                + summaries.values().stream()
                        .filter(told -> now.since(told.heardAt()).compareTo(sumsWithin) < 0)
                        .mapToInt(told -> isRecent
                                ? told.summary().getCurrentVms()
                                : told.summary().getHeardVms())
                        .sum();
    }

    /** Returns the models and adapters that requests of peers wait for. */
    List<ModelRequest> peerWants(MonotonicTime now) {
        return peers.heard(now).stream()
                .flatMap(report -> report.digest().getWantsList().stream())
                .map(want -> new ModelRequest(want.getService(), want.getModel(), want.getAdapter()))
                .toList();
    }

    /** Counts the peers that are heard and whose names come before another one. */
    int countHeardBefore(String vmName, MonotonicTime now) {
        return (int) peers.heard(now).stream()
                .filter(report -> report.digest().getVmName().compareTo(vmName) < 0)
                .count();
    }

    /** All peers learn at once what an engine holds now; in a large fleet those whose requests wait for it do. */
    void announceHoldings(Upstream engine) {
        changedEngines.add(engine);
        if (isMesh()) {
            sendSoon(PAUSE);
            return;
        }
        MonotonicTime now = clock.get();
        VmDigest digest = parts.describe(++sequence, false, List.of(engine), now);
        peers.heard(now).stream()
                .filter(report -> report.digest().getWantsList().stream()
                        .anyMatch(want -> engine.hasLoaded(want.getModel(), want.getAdapter())))
                .forEach(report -> peers.sendTo(digest, report.digest().getVmName()));
    }

    /** All peers learn at once that an upstream leaves. */
    void announceLeaving() {
        newsUntil = clock.get().plus(NEWS_REPEATED_FOR);
        sendSoon(PAUSE);
    }

    /** All peers learn at once what teams have spent here. */
    void announceSpending() {
        sendSoon(isMesh() ? SPENDING_PAUSE : LARGE_FLEET_SPENDING_PAUSE);
    }

    private void sendSoon(Duration pause) {
        if (isScheduled) {
            return;
        }
        isScheduled = true;
        Duration due = pause.minus(clock.get().since(sentAt));
        timer.schedule(Duration.ofMillis(Math.max(0, due.toMillis())), () -> {
            isScheduled = false;
            send(clock.get());
        });
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
        if (digest.hasSummary()) {
            hearSummary(report);
        } else if (isNear(digest)) {
            limits.applyPeerReport(
                    digest.getVmName(), digest.getIncarnation(), DigestWriter.spending(digest.getSpendingList()), now);
            peerUses.hear(digest.getVmName(), digest.getUpstreamUsesList(), now);
        }
        digest.getLeavingUpstreamsList()
                .forEach(leaving -> notices.handlePeerNotice(
                        leaving.getUpstream(), leaving.getStartedMilliseconds(), digest.getVmName()));
        digest.getCrashVerdictsList()
                .forEach(verdict -> quarantine.receive(CrashVerdictExchange.fromMessage(verdict), now));
        DigestWriter.demand(digest).ifPresent(demand -> demandRates.onReport(digest.getVmName(), demand, now));
        boolean isOrdering = parts.isOrdering(now);
        if (digest.getHoldingsCount() > 0 && !isOrdering) {
            DigestWriter.applyHoldings(digest, upstreams, now);
            parts.onHoldings(now);
        }
        if (digest.getWantsCount() > 0 && isOrdering) {
            parts.onWants(now);
        }
    }

    private void hearSummary(PeerReport report) {
        VmDigest digest = report.digest();
        String domain = digest.getFailureDomain();
        if (isMesh() || isNear(digest)) {
            return;
        }
        DomainSummary summary = digest.getSummary();
        summaries.put(domain, new HeardSummary(summary, report.heardAt()));
        limits.applyDomainReport(
                domain, digest.getIncarnation(), DigestWriter.spending(summary.getSpendingList()), report.heardAt());
        domainUses.hear(domain, summary.getUpstreamUsesList(), report.heardAt());
    }
}
