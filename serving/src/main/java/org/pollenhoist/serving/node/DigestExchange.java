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
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.request.UpstreamLifetime;
import org.pollenhoist.serving.limit.FleetRateLimiter;
import org.pollenhoist.serving.peer.PeerExchange;
import org.pollenhoist.serving.peer.PeerReport;
import org.pollenhoist.serving.placement.DemandRates;
import org.pollenhoist.serving.placement.ModelRequest;
import org.pollenhoist.serving.placement.Timer;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamNoticeHandler;
import org.pollenhoist.serving.upstream.UpstreamTable;
import org.pollenhoist.vm.generated.DomainSummary;
import org.pollenhoist.vm.generated.RejectionLimitObservation;
import org.pollenhoist.vm.generated.VmDigest;

/**
 * Sends digests of this VM's state to its peers and applies the digests received from them. Confined to the event loop.
 *
 * <p>In a small fleet, every VM sends its digest to every other VM (full mesh). In a large fleet, VMs exchange digests
 * within their failure domain, and one representative of each domain sends the domain's sums to all VMs of the other
 * domains. Only three kinds of content still go directly to VMs of other domains: urgent notices, the resident
 * models and adapters of engines, and what the placement leader needs to know.
 */
final class DigestExchange {

    /** Size of the largest fleet that exchanges digests in a full mesh, this VM included. */
    private static final int MAX_FULL_MESH_VMS = 24;

    /** Interval between periodic digests. */
    private static final Duration DIGEST_INTERVAL = Duration.ofMillis(250);

    /**
     * Number of peers that receive a digest every {@link #DIGEST_INTERVAL}; with more peers the interval grows in
     * proportion.
     */
    private static final int MAX_PEERS_AT_DIGEST_INTERVAL = 12;

    /**
     * Interval between digests to other failure domains while no team is close to its limit. It is longer than {@link
     * #DIGEST_INTERVAL} because traffic between failure domains is billed.
     */
    private static final Duration OTHER_DOMAIN_INTERVAL = Duration.ofMillis(500);

    /** Interval between summaries of this failure domain to the others while a team is close to its limit. */
    private static final Duration SUMMARY_INTERVAL_NEAR_LIMIT = Duration.ofMillis(200);

    /**
     * Interval between announcements of the resident models of all engines, in addition to announcements of changes.
     */
    private static final Duration RESIDENT_MODELS_INTERVAL = Duration.ofSeconds(1);

    /** Number of batches, announced in rotation, into which the engines are divided in a large fleet. */
    private static final int RESIDENT_MODELS_BATCHES = 4;

    /** Interval between demand reports to the placement leader; demand changes within seconds. */
    private static final Duration DEMAND_INTERVAL = Duration.ofMillis(500);

    /** Minimum time between two digests. */
    private static final Duration MIN_DIGEST_SPACING = Duration.ofMillis(4);

    /**
     * Minimum time between two digests sent because of spending. The tokens admitted in between are a small part of one
     * second's rate.
     */
    private static final Duration MIN_SPENDING_SPACING = Duration.ofMillis(20);

    /** Minimum time between two digests sent because of crashes: one crash breaks many connections at once. */
    private static final Duration MIN_CRASH_SPACING = Duration.ofMillis(20);

    /** Same as {@link #MIN_SPENDING_SPACING}, for a large fleet, where each such digest goes to more peers. */
    private static final Duration LARGE_FLEET_MIN_SPENDING_SPACING = Duration.ofMillis(50);

    /** How long digests with urgent content are sent to all VMs, since single datagrams may be lost. */
    private static final Duration BROADCAST_REPEAT_DURATION = Duration.ofMillis(1_200);

    /**
     * Time without a digest after which a peer no longer counts as a candidate for representative of its failure
     * domain.
     */
    private static final Duration REPRESENTATIVE_TIMEOUT = Duration.ofSeconds(1);

    /** Time without a digest after which a store follower is no longer relied on. */
    private static final Duration FOLLOWER_TIMEOUT = Duration.ofMillis(900);

    /** Additional age allowed for a failure domain's summary compared with a VM's own report. */
    private static final Duration SUMMARY_LAG = Duration.ofMillis(500);

    /** Provides the state of the local VM and handles changes reported by peers. */
    interface LocalVm {

        /** Creates a digest of this VM's current state. */
        VmDigest createDigest(long sequence, boolean hasDemand, Collection<Upstream> engines, MonotonicTime now);

        /** Returns this VM's name. */
        String vmName();

        /** Returns this VM's failure domain. */
        String failureDomain();

        /** Returns the bandwidth of this VM's link in megabits per second, 0 if unknown. */
        int linkMegabits();

        /** Returns all known upstreams, engines included. */
        Collection<Upstream> engines();

        /**
         * Returns whether this VM is the placement leader and sends orders to engines. Its own state of the engines
         * then takes precedence over reports from peers.
         */
        boolean isSendingOrders(MonotonicTime now);

        /** Returns whether this VM's digest contains anything that VMs in all failure domains need immediately. */
        boolean hasUrgentNotices(MonotonicTime now);

        /** Called after the resident models of engines were updated from a digest. */
        void onResidentModelsChanged(MonotonicTime now);

        /** Called when requests at a peer wait for models or adapters. */
        void onPeerModelRequests(MonotonicTime now);
    }

    private record ReceivedSummary(DomainSummary summary, MonotonicTime receivedAt) {}

    private final Timer timer;
    private final Supplier<MonotonicTime> clock;
    private final PeerExchange peers;
    private final UpstreamTable upstreams;
    private final UpstreamNoticeHandler notices;
    private final FleetRateLimiter limits;
    private final DemandRates demandRates;
    private final CrashTracking crashes;
    private final LocalVm localVm;
    private final ReportedLoads peerLoads;
    private final ReportedLoads domainLoads;
    private final Map<String, ReceivedSummary> summaries = new HashMap<>();
    private final Set<Upstream> changedEngines = new LinkedHashSet<>();
    private long sequence;
    private int residentModelsBatch;
    private MonotonicTime sentAt;
    private MonotonicTime otherDomainsSentAt;
    private MonotonicTime residentModelsSentAt;
    private MonotonicTime demandSentAt;
    private MonotonicTime broadcastUntil;
    private boolean isSendScheduled;

    DigestExchange(
            Timer timer,
            Supplier<MonotonicTime> clock,
            PeerExchange peers,
            UpstreamTable upstreams,
            UpstreamNoticeHandler notices,
            FleetRateLimiter limits,
            DemandRates demandRates,
            CrashTracking crashes,
            LocalVm localVm) {
        this.timer = timer;
        this.clock = clock;
        this.peers = peers;
        this.upstreams = upstreams;
        this.notices = notices;
        this.limits = limits;
        this.demandRates = demandRates;
        this.crashes = crashes;
        this.localVm = localVm;
        this.peerLoads = new ReportedLoads(upstreams, Upstream::updatePeerLoad, Upstream::removePeerLoad);
        this.domainLoads = new ReportedLoads(upstreams, Upstream::updateDomainLoad, Upstream::removeDomainLoad);
        this.sentAt = clock.get();
        this.otherDomainsSentAt = sentAt;
        this.residentModelsSentAt = sentAt;
        this.demandSentAt = sentAt;
        this.broadcastUntil = sentAt;
    }

    /** Returns whether every VM exchanges digests with every other one. */
    boolean isFullMesh() {
        return peers.peerNames().size() < MAX_FULL_MESH_VMS;
    }

    void tick(MonotonicTime now) {
        if (now.since(sentAt).compareTo(interval()) < 0) {
            return;
        }
        boolean isOtherDomainsDue = now.since(otherDomainsSentAt).compareTo(OTHER_DOMAIN_INTERVAL) >= 0;
        if (!isFullMesh() || isOtherDomainsDue || limits.isNearLimit(now)) {
            send(now);
        } else {
            sentAt = now;
            peers.sendToDomain(localVm.failureDomain(), localVm.createDigest(++sequence, false, List.of(), now));
        }
    }

    private Duration interval() {
        int domainPeers = isFullMesh() ? 0 : peers.countPeersIn(localVm.failureDomain());
        return domainPeers <= MAX_PEERS_AT_DIGEST_INTERVAL
                ? DIGEST_INTERVAL
                : DIGEST_INTERVAL.multipliedBy(domainPeers).dividedBy(MAX_PEERS_AT_DIGEST_INTERVAL);
    }

    /**
     * Sends everything that is due: demand to the placement leader, the resident models of engines, and this VM's
     * state.
     */
    void send(MonotonicTime now) {
        sentAt = now;
        Set<Upstream> announced = new LinkedHashSet<>(changedEngines);
        changedEngines.clear();
        addResidentModelsDue(announced, now);
        if (now.since(demandSentAt).compareTo(DEMAND_INTERVAL) >= 0) {
            demandSentAt = now;
            placementLeader(now)
                    .ifPresent(vm -> peers.sendTo(localVm.createDigest(++sequence, true, List.of(), now), vm));
        }
        VmDigest digest = localVm.createDigest(++sequence, false, announced, now);
        boolean isBroadcast = now.isBefore(broadcastUntil)
                || localVm.hasUrgentNotices(now)
                || (!announced.isEmpty() && localVm.isSendingOrders(now));
        if (isFullMesh()) {
            otherDomainsSentAt = now;
            peers.send(digest);
        } else if (isBroadcast) {
            peers.send(digest);
            sendSummaryIfDue(now);
        } else {
            peers.sendToDomain(localVm.failureDomain(), digest);
            sendSummaryIfDue(now);
        }
        limits.markReported();
    }

    private void addResidentModelsDue(Set<Upstream> announced, MonotonicTime now) {
        if (now.since(residentModelsSentAt).compareTo(RESIDENT_MODELS_INTERVAL) < 0) {
            return;
        }
        residentModelsSentAt = now;
        residentModelsBatch = (residentModelsBatch + 1) % RESIDENT_MODELS_BATCHES;
        int index = 0;
        for (Upstream engine : localVm.engines()) {
            if (isFullMesh() || index++ % RESIDENT_MODELS_BATCHES == residentModelsBatch) {
                announced.add(engine);
            }
        }
    }

    /**
     * Sends this failure domain's summary to the other domains if this VM is the representative and the interval has
     * passed.
     */
    private void sendSummaryIfDue(MonotonicTime now) {
        Duration interval = limits.isNearLimit(now) ? SUMMARY_INTERVAL_NEAR_LIMIT : OTHER_DOMAIN_INTERVAL;
        List<PeerReport> recentReports = directReports(REPRESENTATIVE_TIMEOUT, now);
        List<LinkRanking.Candidate> others = recentReports.stream()
                .filter(report -> !report.digest().getIsStopping())
                .map(report -> new LinkRanking.Candidate(
                        report.digest().getVmName(), report.digest().getLinkMegabits()))
                .toList();
        boolean isRepresentative = DomainRepresentative.isRepresentative(
                localVm.failureDomain(), new LinkRanking.Candidate(localVm.vmName(), localVm.linkMegabits()), others);
        if (!isRepresentative || now.since(otherDomainsSentAt).compareTo(interval) < 0) {
            return;
        }
        otherDomainsSentAt = now;
        DomainSummary summary = DigestCodec.summarize(
                directReports(PeerExchange.REPORT_TIMEOUT, now).size() + 1,
                recentReports.size() + 1,
                limits.domainReport(now),
                upstreams.all(),
                now);
        VmDigest digest = localVm.createDigest(++sequence, false, List.of(), now);
        peers.sendToOtherDomains(localVm.failureDomain(), DigestCodec.withDomainSummary(digest, summary));
    }

    /** Returns whether this VM has to watch the store itself. In a full mesh, every VM does. */
    boolean mustFollowStore(MonotonicTime now) {
        List<StoreFollowers.Peer> domainPeers = directReports(FOLLOWER_TIMEOUT, now).stream()
                .filter(report -> !report.digest().getIsStopping())
                .map(report -> new StoreFollowers.Peer(
                        report.digest().getVmName(),
                        report.digest().getFollowsStore(),
                        report.digest().getLinkMegabits()))
                .toList();
        return isFullMesh()
                || StoreFollowers.mustFollow(
                        localVm.failureDomain(), localVm.vmName(), localVm.linkMegabits(), domainPeers);
    }

    /** Returns the number of VMs in the fleet that are meant to watch the store. */
    int countStoreFollowers() {
        return isFullMesh()
                ? peers.peerNames().size() + 1
                : StoreFollowers.FOLLOWERS_PER_DOMAIN * peers.countFailureDomains();
    }

    /**
     * In a large fleet, sends a digest so that peers that do not watch the store learn immediately that it has changed.
     */
    void announceStoreRevision() {
        if (!isFullMesh()) {
            scheduleSend(MIN_DIGEST_SPACING);
        }
    }

    /** Returns the names of the peers that have recently sent a digest themselves and are not stopping. */
    List<String> activePeers(Duration within, MonotonicTime now) {
        return directReports(within, now).stream()
                .filter(report -> !report.digest().getIsStopping())
                .map(report -> report.digest().getVmName())
                .toList();
    }

    private List<PeerReport> directReports(Duration within, MonotonicTime now) {
        return peers.recentReports(now).stream()
                .filter(report -> now.since(report.receivedAt()).compareTo(within) < 0)
                .filter(report -> peers.peerNames().contains(report.digest().getVmName()))
                .filter(report -> reportsDirectly(report.digest()))
                .toList();
    }

    /**
     * Returns whether the state of a VM is taken from its own digests rather than from the summary of its failure
     * domain.
     */
    private boolean reportsDirectly(VmDigest digest) {
        return isFullMesh() || digest.getFailureDomain().equals(localVm.failureDomain());
    }

    /**
     * Counts the VMs with a recent report, received either from the VM itself or in the summary of its failure domain.
     *
     * @param within the maximum age of a report
     * @param now the current time
     * @return the number of VMs, this VM included
     */
    int countReportingVms(Duration within, MonotonicTime now) {
        int count = 1 + directReports(within, now).size();
        if (isFullMesh()) {
            return count;
        }
        Duration summariesWithin = within.plus(SUMMARY_LAG);
        boolean isCurrent = within.compareTo(REPRESENTATIVE_TIMEOUT) <= 0;
        return count
                + summaries.values().stream()
                        .filter(summary -> now.since(summary.receivedAt()).compareTo(summariesWithin) < 0)
                        .mapToInt(summary -> isCurrent
                                ? summary.summary().getCurrentVms()
                                : summary.summary().getHeardVms())
                        .sum();
    }

    /** Returns the models and adapters that requests at peers wait for. */
    List<ModelRequest> peerModelRequests(MonotonicTime now) {
        return peers.recentReports(now).stream()
                .flatMap(report -> report.digest().getWantsList().stream())
                .map(request -> new ModelRequest(request.getService(), request.getModel(), request.getAdapter()))
                .toList();
    }

    /** Counts the peers with a recent report whose names sort before the given name. */
    int countReportingPeersBefore(String vmName, MonotonicTime now) {
        return (int) peers.recentReports(now).stream()
                .filter(report -> report.digest().getVmName().compareTo(vmName) < 0)
                .count();
    }

    /**
     * Announces the resident models of an engine immediately: in a full mesh to all peers, in a large fleet to the
     * peers whose requests wait for one of them, and to the others with the next digest.
     */
    void announceResidentModels(Upstream engine) {
        changedEngines.add(engine);
        if (isFullMesh()) {
            scheduleSend(MIN_DIGEST_SPACING);
            return;
        }
        MonotonicTime now = clock.get();
        VmDigest digest = localVm.createDigest(++sequence, false, List.of(engine), now);
        peers.recentReports(now).stream()
                .filter(report -> report.digest().getWantsList().stream()
                        .anyMatch(request -> engine.hasLoaded(request.getModel(), request.getAdapter())))
                .forEach(report -> peers.sendTo(digest, report.digest().getVmName()));
    }

    /** Announces immediately to all peers that an upstream is leaving or that its rate limit has changed. */
    void announceUpstreamNews() {
        broadcastUntil = clock.get().plus(BROADCAST_REPEAT_DURATION);
        scheduleSend(MIN_DIGEST_SPACING);
    }

    /** Announces promptly what may have crashed upstreams. */
    void announceCrashes() {
        scheduleSend(MIN_CRASH_SPACING);
    }

    /** Announces promptly what teams have spent at this VM. */
    void announceSpending() {
        scheduleSend(isFullMesh() ? MIN_SPENDING_SPACING : LARGE_FLEET_MIN_SPENDING_SPACING);
    }

    private void scheduleSend(Duration spacing) {
        if (isSendScheduled) {
            return;
        }
        isSendScheduled = true;
        Duration delay = spacing.minus(clock.get().since(sentAt));
        timer.schedule(Duration.ofMillis(Math.max(0, delay.toMillis())), () -> {
            isSendScheduled = false;
            send(clock.get());
        });
    }

    /** Sends the model requests of this VM to the placement leader immediately; no other VM needs them. */
    void notifyPlacementLeader() {
        MonotonicTime now = clock.get();
        placementLeader(now).ifPresent(vm -> peers.sendTo(localVm.createDigest(++sequence, false, List.of(), now), vm));
    }

    private Optional<String> placementLeader(MonotonicTime now) {
        return peers.recentReports(now).stream()
                .filter(report -> report.digest().getIsPlacing())
                .map(report -> report.digest().getVmName())
                .findFirst();
    }

    void receive(PeerReport report) {
        MonotonicTime now = report.receivedAt();
        VmDigest digest = report.digest();
        if (digest.hasSummary()) {
            receiveSummary(report);
        } else if (reportsDirectly(digest)) {
            limits.applyPeerReport(
                    digest.getVmName(), digest.getIncarnation(), DigestCodec.spending(digest.getSpendingList()), now);
            peerLoads.update(digest.getVmName(), digest.getUpstreamUsesList(), now);
        }
        digest.getLeavingUpstreamsList()
                .forEach(leaving -> notices.handlePeerNotice(
                        leaving.getUpstream(), leaving.getStartedMilliseconds(), digest.getVmName()));
        digest.getRateLimitsList()
                .forEach(limit -> notices.handlePeerRateLimit(
                        limit.getLifetime().getUpstream(),
                        limit.getLifetime().getStartedMilliseconds(),
                        DigestCodec.observation(limit, now),
                        digest.getVmName()));
        digest.getRejectionLimitsList().forEach(limit -> receiveRejectionLimit(limit, digest.getVmName(), now));
        crashes.receive(digest, now);
        DigestCodec.demand(digest).ifPresent(demand -> demandRates.onReport(digest.getVmName(), demand, now));
        boolean isSendingOrders = localVm.isSendingOrders(now);
        if (digest.getHoldingsCount() > 0 && !isSendingOrders) {
            DigestCodec.applyResidentModels(digest, upstreams, now);
            localVm.onResidentModelsChanged(now);
        }
        if (digest.getWantsCount() > 0 && isSendingOrders) {
            localVm.onPeerModelRequests(now);
        }
    }

    private void receiveRejectionLimit(RejectionLimitObservation limit, String peer, MonotonicTime now) {
        notices.handlePeerRejectionLimit(
                new UpstreamLifetime(
                        UpstreamName.of(limit.getLifetime().getUpstream()),
                        limit.getLifetime().getStartedMilliseconds()),
                DigestCodec.observation(limit, now),
                DigestCodec.rejectedAt(limit, now),
                peer,
                now);
    }

    private void receiveSummary(PeerReport report) {
        VmDigest digest = report.digest();
        String domain = digest.getFailureDomain();
        if (isFullMesh() || reportsDirectly(digest)) {
            return;
        }
        DomainSummary summary = digest.getSummary();
        summaries.put(domain, new ReceivedSummary(summary, report.receivedAt()));
        limits.applyDomainReport(
                domain, digest.getIncarnation(), DigestCodec.spending(summary.getSpendingList()), report.receivedAt());
        domainLoads.update(domain, summary.getUpstreamUsesList(), report.receivedAt());
    }
}
