package org.pollenhoist.serving.node;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.request.CrashNotice;
import org.pollenhoist.serving.limit.FleetRateLimiter;
import org.pollenhoist.serving.placement.Leadership;
import org.pollenhoist.serving.placement.ModelRequest;
import org.pollenhoist.serving.placement.RecentWork;
import org.pollenhoist.serving.placement.VmDemand;
import org.pollenhoist.serving.upstream.LoadSnapshot;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamTable;
import org.pollenhoist.vm.CrashVerdictExchange;
import org.pollenhoist.vm.generated.DomainSummary;
import org.pollenhoist.vm.generated.ModelDemand;
import org.pollenhoist.vm.generated.TeamSpending;
import org.pollenhoist.vm.generated.UpstreamHolding;
import org.pollenhoist.vm.generated.UpstreamLifetime;
import org.pollenhoist.vm.generated.UpstreamUse;
import org.pollenhoist.vm.generated.VmDigest;

/** Writes and reads digests. */
final class DigestWriter {

    /** One lifetime of an upstream. */
    record HolderKey(String identifier, long startedMilliseconds) {}

    private final String vmName;
    private final String failureDomain;
    private final long incarnation;

    DigestWriter(String vmName, String failureDomain, long incarnation) {
        this.vmName = vmName;
        this.failureDomain = failureDomain;
        this.incarnation = incarnation;
    }

    VmDigest write(
            long sequence,
            long storeRevision,
            boolean followsStore,
            List<FleetRateLimiter.Spending> spending,
            Collection<Upstream> upstreams,
            Optional<VmDemand> demand,
            List<ModelRequest> wants,
            boolean isPlacing,
            boolean isStopping,
            Collection<Upstream> announcedEngines,
            List<CrashNotice> crashNotices,
            Optional<Leadership.Resignation> resignation,
            MonotonicTime now) {
        VmDigest.Builder digest = VmDigest.newBuilder()
                .setVmName(vmName)
                .setFailureDomain(failureDomain)
                .setIncarnation(incarnation)
                .setSequence(sequence)
                .setStoreRevision(storeRevision)
                .setFollowsStore(followsStore)
                .setIsPlacing(isPlacing)
                .setIsStopping(isStopping);
        spending.forEach(one -> digest.addSpending(spending(one)));
        demand.ifPresent(told -> addDemand(digest, told));
        upstreams.forEach(upstream -> addUse(digest, upstream, now));
        upstreams.stream().filter(Upstream::hasAnnouncedLeaving).forEach(upstream -> addLeaving(digest, upstream));
        addWants(digest, wants);
        crashNotices.forEach(notice -> digest.addCrashVerdicts(CrashVerdictExchange.toMessage(notice)));
        resignation.ifPresent(given -> addResignation(digest, given, now));
        if (isPlacing) {
            announcedEngines.forEach(upstream -> addHoldings(digest, upstream, now));
        }
        return digest.build();
    }

    private static void addDemand(VmDigest.Builder digest, VmDemand demand) {
        digest.setDemandMemoryMilliseconds(
                (int) Math.min(Integer.MAX_VALUE, demand.observationTime().toMillis()));
        demand.workByModel()
                .forEach((model, work) -> digest.addDemands(ModelDemand.newBuilder()
                        .setModel(model)
                        .setQuickSeconds((float) work.quickSeconds())
                        .setSlowSeconds((float) work.slowSeconds())));
    }

    /** Reads what the sender tells of its callers' demand, if it does. */
    static Optional<VmDemand> demand(VmDigest digest) {
        if (!digest.hasDemandMemoryMilliseconds()) {
            return Optional.empty();
        }
        Map<String, RecentWork> work = new HashMap<>();
        digest.getDemandsList()
                .forEach(told ->
                        work.put(told.getModel(), new RecentWork(told.getQuickSeconds(), told.getSlowSeconds())));
        return Optional.of(new VmDemand(work, Duration.ofMillis(digest.getDemandMemoryMilliseconds())));
    }

    private static void addResignation(VmDigest.Builder digest, Leadership.Resignation resignation, MonotonicTime now) {
        digest.setResignedClaim(resignation.claimRevision());
        resignation
                .lastOrderAt()
                .ifPresent(at -> digest.setLastOrderAgeMilliseconds(
                        (int) Math.min(Integer.MAX_VALUE, now.since(at).toMillis())));
    }

    /** Reads which claim to order models the sender has given up, if any. */
    static Optional<Leadership.Resignation> resignation(VmDigest digest, MonotonicTime heardAt) {
        if (digest.getResignedClaim() == 0) {
            return Optional.empty();
        }
        Optional<MonotonicTime> lastOrderAt = digest.hasLastOrderAgeMilliseconds()
                ? Optional.of(heardAt.plus(
                        Duration.ofMillis(digest.getLastOrderAgeMilliseconds()).negated()))
                : Optional.empty();
        return Optional.of(new Leadership.Resignation(digest.getResignedClaim(), lastOrderAt));
    }

    private static void addUse(VmDigest.Builder digest, Upstream upstream, MonotonicTime now) {
        LoadSnapshot own = upstream.ownLoad(now);
        if (own.running() > 0) {
            digest.addUpstreamUses(use(upstream, own));
        }
    }

    private static UpstreamUse use(Upstream upstream, LoadSnapshot load) {
        return UpstreamUse.newBuilder()
                .setUpstreamTag(upstream.tag())
                .setRunning(load.running())
                .setUnreadTokens((int) load.tokensAwaitingPrefill())
                .setReservedTokens((int) load.reservedTokens())
                .build();
    }

    private static TeamSpending spending(FleetRateLimiter.Spending spending) {
        return TeamSpending.newBuilder()
                .setTeam(spending.team())
                .setAdmittedTokens(spending.admitted())
                .setLevelTokens(spending.level())
                .build();
    }

    /**
     * Replaces this VM's spending and use in a digest by the sums over its failure domain. What its requests wait for
     * stays, since the VM that orders may be the one that hears it.
     */
    static VmDigest speakForDomain(VmDigest digest, DomainSummary summary) {
        return digest.toBuilder()
                .clearSpending()
                .clearUpstreamUses()
                .setSummary(summary)
                .build();
    }

    /** Sums up what the VMs of a failure domain spend and use together, as far as they are heard here. */
    static DomainSummary summarize(
            int heardVms,
            int currentVms,
            List<FleetRateLimiter.Spending> spending,
            Collection<Upstream> upstreams,
            MonotonicTime now) {
        DomainSummary.Builder summary =
                DomainSummary.newBuilder().setHeardVms(heardVms).setCurrentVms(currentVms);
        spending.forEach(one -> summary.addSpending(spending(one)));
        upstreams.forEach(upstream -> {
            LoadSnapshot load = upstream.domainLoad(now);
            if (load.running() > 0) {
                summary.addUpstreamUses(use(upstream, load));
            }
        });
        return summary.build();
    }

    /** Reads what teams have spent. */
    static List<FleetRateLimiter.Spending> spending(List<TeamSpending> told) {
        return told.stream()
                .map(one -> new FleetRateLimiter.Spending(one.getTeam(), one.getAdmittedTokens(), one.getLevelTokens()))
                .toList();
    }

    private static void addWants(VmDigest.Builder digest, List<ModelRequest> wants) {
        Map<ModelRequest, Long> counts =
                wants.stream().collect(Collectors.groupingBy(want -> want, Collectors.counting()));
        counts.forEach((want, count) -> digest.addWants(org.pollenhoist.vm.generated.ModelWant.newBuilder()
                .setService(want.service())
                .setModel(want.model())
                .setAdapter(want.adapter())
                .setWaiting(count.intValue())));
    }

    private static void addLeaving(VmDigest.Builder digest, Upstream upstream) {
        digest.addLeavingUpstreams(UpstreamLifetime.newBuilder()
                .setUpstream(upstream.description().identifier())
                .setStartedMilliseconds(upstream.description().startedMilliseconds()));
    }

    private static void addHoldings(VmDigest.Builder digest, Upstream upstream, MonotonicTime now) {
        upstream.loadingModels()
                .forEach((model, expected) -> digest.addHoldings(UpstreamHolding.newBuilder()
                        .setUpstream(upstream.description().identifier())
                        .setStartedMilliseconds(upstream.description().startedMilliseconds())
                        .setModel(model)
                        .setArrivesInMilliseconds(
                                (int) Math.max(1, expected.since(now).toMillis()))));
        upstream.residentModels()
                .forEach((model, adapters) -> digest.addHoldings(UpstreamHolding.newBuilder()
                        .setUpstream(upstream.description().identifier())
                        .setStartedMilliseconds(upstream.description().startedMilliseconds())
                        .setModel(model)
                        .addAllAdapters(adapters)));
    }

    /** Takes over what the upstreams hold and load, as the ordering VM says. */
    static void applyHoldings(VmDigest digest, UpstreamTable upstreams, MonotonicTime now) {
        Map<HolderKey, Map<String, Set<String>>> holdings = new HashMap<>();
        Map<HolderKey, Map<String, MonotonicTime>> arrivals = new HashMap<>();
        for (UpstreamHolding holding : digest.getHoldingsList()) {
            HolderKey key = new HolderKey(holding.getUpstream(), holding.getStartedMilliseconds());
            holdings.computeIfAbsent(key, ignored -> new HashMap<>());
            arrivals.computeIfAbsent(key, ignored -> new HashMap<>());
            if (holding.getArrivesInMilliseconds() > 0) {
                Duration wait = Duration.ofMillis(holding.getArrivesInMilliseconds());
                arrivals.get(key).put(holding.getModel(), now.plus(wait));
            } else {
                holdings.get(key).put(holding.getModel(), new HashSet<>(holding.getAdaptersList()));
            }
        }
        holdings.forEach((key, held) -> upstreams
                .find(key.identifier())
                .filter(upstream -> upstream.description().startedMilliseconds() == key.startedMilliseconds())
                .ifPresent(upstream -> {
                    upstream.replaceResidentModels(held);
                    upstream.setLoadingModels(arrivals.get(key));
                }));
    }
}
