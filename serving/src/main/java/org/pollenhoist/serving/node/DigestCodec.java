package org.pollenhoist.serving.node;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.limit.FleetRateLimiter;
import org.pollenhoist.serving.limit.LimitObservation;
import org.pollenhoist.serving.limit.RateLimitNotice;
import org.pollenhoist.serving.placement.Leadership;
import org.pollenhoist.serving.placement.ModelRequest;
import org.pollenhoist.serving.placement.RecentWork;
import org.pollenhoist.serving.placement.VmDemand;
import org.pollenhoist.serving.store.StoreEras;
import org.pollenhoist.serving.store.StoreRevision;
import org.pollenhoist.serving.upstream.LoadSnapshot;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamTable;
import org.pollenhoist.vm.generated.DomainSummary;
import org.pollenhoist.vm.generated.ModelDemand;
import org.pollenhoist.vm.generated.RateLimitObservation;
import org.pollenhoist.vm.generated.RejectionLimitObservation;
import org.pollenhoist.vm.generated.TeamSpending;
import org.pollenhoist.vm.generated.UpstreamHolding;
import org.pollenhoist.vm.generated.UpstreamLifetime;
import org.pollenhoist.vm.generated.UpstreamUse;
import org.pollenhoist.vm.generated.VmDigest;

/** Converts between the state of this VM and digests. */
final class DigestCodec {

    private static final double PERCENT = 100;

    /** Identifies one lifetime of an upstream. */
    record UpstreamKey(String identifier, long startedMilliseconds) {}

    private final String vmName;
    private final String failureDomain;
    private final long incarnation;
    private final int linkMegabits;

    DigestCodec(String vmName, String failureDomain, long incarnation, int linkMegabits) {
        this.vmName = vmName;
        this.failureDomain = failureDomain;
        this.incarnation = incarnation;
        this.linkMegabits = linkMegabits;
    }

    VmDigest write(
            long sequence,
            StoreRevision storeRevision,
            boolean followsStore,
            List<FleetRateLimiter.Spending> spending,
            Collection<Upstream> upstreams,
            Optional<VmDemand> demand,
            List<ModelRequest> modelRequests,
            boolean isPlacing,
            boolean isStopping,
            boolean isForwarding,
            Collection<Upstream> announcedEngines,
            Optional<Leadership.Resignation> resignation,
            long highestFencingToken,
            CrashTracking crashes,
            MonotonicTime now) {
        VmDigest.Builder digest = VmDigest.newBuilder()
                .setVmName(vmName)
                .setFailureDomain(failureDomain)
                .setIncarnation(incarnation)
                .setLinkMegabits(linkMegabits)
                .setSequence(sequence)
                .setStoreRevision(storeRevision.number())
                .setStoreEra(storeRevision.era())
                .setFollowsStore(followsStore)
                .setIsPlacing(isPlacing)
                .setIsStopping(isStopping)
                .setIsForwarding(isForwarding)
                .setHighestFencingToken(highestFencingToken);
        spending.forEach(entry -> digest.addSpending(toTeamSpending(entry)));
        demand.ifPresent(present -> addDemand(digest, present));
        upstreams.forEach(upstream -> addLoad(digest, upstream, now));
        upstreams.stream().filter(Upstream::hasAnnouncedLeaving).forEach(upstream -> addLeaving(digest, upstream));
        upstreams.forEach(upstream -> addRateLimit(digest, upstream, now));
        upstreams.forEach(upstream -> addRejectionLimit(digest, upstream, now));
        addModelRequests(digest, modelRequests);
        crashes.addTo(digest, now);
        resignation.ifPresent(present -> addResignation(digest, present, now));
        if (isPlacing) {
            announcedEngines.forEach(upstream -> addResidentModels(digest, upstream, now));
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

    /** Reads the demand of the sender's callers, empty if the digest does not contain it. */
    static Optional<VmDemand> demand(VmDigest digest) {
        if (!digest.hasDemandMemoryMilliseconds()) {
            return Optional.empty();
        }
        Map<String, RecentWork> work = new HashMap<>();
        digest.getDemandsList()
                .forEach(report ->
                        work.put(report.getModel(), new RecentWork(report.getQuickSeconds(), report.getSlowSeconds())));
        return Optional.of(new VmDemand(work, Duration.ofMillis(digest.getDemandMemoryMilliseconds())));
    }

    private static void addResignation(VmDigest.Builder digest, Leadership.Resignation resignation, MonotonicTime now) {
        digest.setResignedClaim(resignation.claimRevision().number());
        digest.setResignedClaimEra(resignation.claimRevision().era());
        resignation
                .lastOrderAt()
                .ifPresent(at -> digest.setLastOrderAgeMilliseconds(
                        (int) Math.min(Integer.MAX_VALUE, now.since(at).toMillis())));
    }

    /** Reads the revision up to which the sender knows the store; an earlier build names no era of it. */
    static StoreRevision storeRevision(VmDigest digest) {
        return new StoreRevision(digest.getStoreEra(), digest.getStoreRevision());
    }

    /**
     * Adds the revision of the configuration in force to a digest.
     *
     * @param configuration the revision of the newest configuration in the store that isn't newer than the one in force
     *     here; left out unless it is of the era of the digest's revision of the store
     */
    static VmDigest withConfiguration(VmDigest digest, StoreRevision configuration) {
        boolean isComparable = configuration.number() > 0 && configuration.isOfSameEra(storeRevision(digest));
        return isComparable
                ? digest.toBuilder()
                        .setConfigurationRevision(configuration.number())
                        .build()
                : digest;
    }

    /** Adds the upstreams whose entries in the store say that they leave or are gone. */
    static VmDigest withDepartures(VmDigest digest, List<org.pollenhoist.request.UpstreamLifetime> departed) {
        if (departed.isEmpty()) {
            return digest;
        }
        VmDigest.Builder extended = digest.toBuilder();
        departed.forEach(lifetime -> extended.addDepartedUpstreams(UpstreamLifetime.newBuilder()
                .setUpstream(lifetime.upstream().value())
                .setStartedMilliseconds(lifetime.startedMilliseconds())));
        return extended.build();
    }

    /** Reads the revision of the sender's configuration, empty if it has none of its store's era or doesn't name it. */
    static Optional<StoreRevision> configurationRevision(VmDigest digest) {
        return digest.hasStoreEra() && digest.hasConfigurationRevision()
                ? Optional.of(new StoreRevision(digest.getStoreEra(), digest.getConfigurationRevision()))
                : Optional.empty();
    }

    /**
     * Reads which placement lease the sender has released, if any.
     *
     * @param eras the eras of the store; a claim whose era an earlier build does not name counts as of the current one
     *     unless this VM has seen the era change
     */
    static Optional<Leadership.Resignation> resignation(VmDigest digest, StoreEras eras, MonotonicTime receivedAt) {
        boolean isOfUnknownEra = !digest.hasResignedClaimEra() && eras.changes() > 0;
        if (digest.getResignedClaim() == 0 || isOfUnknownEra) {
            return Optional.empty();
        }
        Optional<MonotonicTime> lastOrderAt = digest.hasLastOrderAgeMilliseconds()
                ? Optional.of(receivedAt.plus(
                        Duration.ofMillis(digest.getLastOrderAgeMilliseconds()).negated()))
                : Optional.empty();
        long era = digest.hasResignedClaimEra() ? digest.getResignedClaimEra() : eras.current();
        return Optional.of(new Leadership.Resignation(new StoreRevision(era, digest.getResignedClaim()), lastOrderAt));
    }

    private static void addLoad(VmDigest.Builder digest, Upstream upstream, MonotonicTime now) {
        LoadSnapshot ownLoad = upstream.ownLoad(now);
        OptionalDouble pace = upstream.pace().reportable(now);
        if (ownLoad.running() > 0 || pace.isPresent()) {
            UpstreamUse.Builder use = toUpstreamUse(upstream, ownLoad);
            pace.ifPresent(stated -> use.setPacePercent((int) Math.max(1, Math.round(stated * PERCENT))));
            digest.addUpstreamUses(use);
        }
    }

    private static UpstreamUse.Builder toUpstreamUse(Upstream upstream, LoadSnapshot load) {
        return UpstreamUse.newBuilder()
                .setUpstreamTag(upstream.tag())
                .setRunning(load.running())
                .setUnreadTokens((int) load.tokensAwaitingPrefill())
                .setReservedTokens((int) load.reservedTokens());
    }

    /** Reads what an upstream stated to the sender of its pace, empty if it stated nothing of late. */
    static OptionalDouble pace(UpstreamUse use) {
        return use.getPacePercent() > 0 ? OptionalDouble.of(use.getPacePercent() / PERCENT) : OptionalDouble.empty();
    }

    private static TeamSpending toTeamSpending(FleetRateLimiter.Spending spending) {
        return TeamSpending.newBuilder()
                .setTeam(spending.team())
                .setAdmittedTokens(spending.admitted())
                .setLevelTokens(spending.level())
                .build();
    }

    /**
     * Replaces this VM's spending and load in a digest by the sums over its failure domain. Its model requests stay,
     * since the placement leader may be among the receivers.
     */
    static VmDigest withDomainSummary(VmDigest digest, DomainSummary summary) {
        return digest.toBuilder()
                .clearSpending()
                .clearUpstreamUses()
                .setSummary(summary)
                .build();
    }

    /** Sums the spending and upstream load of all VMs of this failure domain whose reports this VM has received. */
    static DomainSummary summarize(
            int reportingVms,
            int currentVms,
            List<FleetRateLimiter.Spending> spending,
            Collection<Upstream> upstreams,
            MonotonicTime now) {
        DomainSummary.Builder summary =
                DomainSummary.newBuilder().setHeardVms(reportingVms).setCurrentVms(currentVms);
        spending.forEach(entry -> summary.addSpending(toTeamSpending(entry)));
        upstreams.forEach(upstream -> {
            LoadSnapshot load = upstream.domainLoad(now);
            if (load.running() > 0) {
                summary.addUpstreamUses(toUpstreamUse(upstream, load));
            }
        });
        return summary.build();
    }

    /** Reads the spending of teams. */
    static List<FleetRateLimiter.Spending> spending(List<TeamSpending> report) {
        return report.stream()
                .map(entry -> new FleetRateLimiter.Spending(
                        entry.getTeam(), entry.getAdmittedTokens(), entry.getLevelTokens()))
                .toList();
    }

    private static void addModelRequests(VmDigest.Builder digest, List<ModelRequest> modelRequests) {
        Map<ModelRequest, Long> counts =
                modelRequests.stream().collect(Collectors.groupingBy(request -> request, Collectors.counting()));
        counts.forEach((request, count) -> digest.addWants(org.pollenhoist.vm.generated.ModelWant.newBuilder()
                .setService(request.service())
                .setModel(request.model())
                .setAdapter(request.adapter())
                .setWaiting(count.intValue())));
    }

    private static void addLeaving(VmDigest.Builder digest, Upstream upstream) {
        digest.addLeavingUpstreams(lifetime(upstream));
    }

    private static void addRateLimit(VmDigest.Builder digest, Upstream upstream, MonotonicTime now) {
        upstream.rateLimit().reportable(now).ifPresent(observation -> {
            RateLimitObservation.Builder message = RateLimitObservation.newBuilder()
                    .setLifetime(lifetime(upstream))
                    .setAgeMilliseconds(age(observation.observedAt(), now));
            if (observation.notice() instanceof RateLimitNotice.Limited limited) {
                message.setRequestsPerSecond(limited.perSecond());
            }
            digest.addRateLimits(message);
        });
    }

    private static void addRejectionLimit(VmDigest.Builder digest, Upstream upstream, MonotonicTime now) {
        upstream.rejectionLimit().reportable(now).ifPresent(observation -> {
            RejectionLimitObservation.Builder message = RejectionLimitObservation.newBuilder()
                    .setLifetime(lifetime(upstream))
                    .setAgeMilliseconds(age(observation.observedAt(), now));
            if (observation.notice() instanceof RateLimitNotice.Limited limited) {
                message.setRejectionsPerSecond(limited.perSecond());
            }
            upstream.rejectionLimit()
                    .reportableRejection(now)
                    .ifPresent(at -> message.setRejectionAgeMilliseconds(age(at, now)));
            digest.addRejectionLimits(message);
        });
    }

    private static UpstreamLifetime lifetime(Upstream upstream) {
        return UpstreamLifetime.newBuilder()
                .setUpstream(upstream.description().identifier())
                .setStartedMilliseconds(upstream.description().startedMilliseconds())
                .build();
    }

    private static int age(MonotonicTime at, MonotonicTime now) {
        return Math.clamp(now.since(at).toMillis(), 0, Integer.MAX_VALUE);
    }

    private static MonotonicTime atAge(int ageMilliseconds, MonotonicTime receivedAt) {
        return receivedAt.plus(
                Duration.ofMillis(Integer.toUnsignedLong(ageMilliseconds)).negated());
    }

    /** Reads what the sender of a digest observed. */
    static LimitObservation observation(RateLimitObservation message, MonotonicTime receivedAt) {
        return new LimitObservation(
                notice(message.hasRequestsPerSecond(), message.getRequestsPerSecond()),
                atAge(message.getAgeMilliseconds(), receivedAt));
    }

    /** Reads what the sender of a digest observed. */
    static LimitObservation observation(RejectionLimitObservation message, MonotonicTime receivedAt) {
        return new LimitObservation(
                notice(message.hasRejectionsPerSecond(), message.getRejectionsPerSecond()),
                atAge(message.getAgeMilliseconds(), receivedAt));
    }

    /** Reads when an upstream last rejected a request of the sender of a digest. */
    static Optional<MonotonicTime> rejectedAt(RejectionLimitObservation message, MonotonicTime receivedAt) {
        return message.hasRejectionAgeMilliseconds()
                ? Optional.of(atAge(message.getRejectionAgeMilliseconds(), receivedAt))
                : Optional.empty();
    }

    private static RateLimitNotice notice(boolean isLimited, double perSecond) {
        return isLimited ? new RateLimitNotice.Limited(Math.max(0, perSecond)) : new RateLimitNotice.Unlimited();
    }

    private static void addResidentModels(VmDigest.Builder digest, Upstream upstream, MonotonicTime now) {
        upstream.loadingModels()
                .forEach((model, expectedAt) -> digest.addHoldings(UpstreamHolding.newBuilder()
                        .setUpstream(upstream.description().identifier())
                        .setStartedMilliseconds(upstream.description().startedMilliseconds())
                        .setModel(model)
                        .setArrivesInMilliseconds(
                                (int) Math.max(1, expectedAt.since(now).toMillis()))));
        upstream.residentModels()
                .forEach((model, adapters) -> digest.addHoldings(UpstreamHolding.newBuilder()
                        .setUpstream(upstream.description().identifier())
                        .setStartedMilliseconds(upstream.description().startedMilliseconds())
                        .setModel(model)
                        .addAllAdapters(adapters)));
    }

    /** Applies the resident models of upstreams, and those being loaded, as reported by the placement leader. */
    static void applyResidentModels(VmDigest digest, UpstreamTable upstreams, MonotonicTime now) {
        Map<UpstreamKey, Map<String, Set<String>>> residentModels = new HashMap<>();
        Map<UpstreamKey, Map<String, MonotonicTime>> loadingModels = new HashMap<>();
        for (UpstreamHolding holding : digest.getHoldingsList()) {
            UpstreamKey key = new UpstreamKey(holding.getUpstream(), holding.getStartedMilliseconds());
            residentModels.computeIfAbsent(key, ignored -> new HashMap<>());
            loadingModels.computeIfAbsent(key, ignored -> new HashMap<>());
            if (holding.getArrivesInMilliseconds() > 0) {
                Duration remaining = Duration.ofMillis(holding.getArrivesInMilliseconds());
                loadingModels.get(key).put(holding.getModel(), now.plus(remaining));
            } else {
                residentModels.get(key).put(holding.getModel(), new HashSet<>(holding.getAdaptersList()));
            }
        }
        residentModels.forEach((key, models) -> upstreams
                .find(key.identifier())
                .filter(upstream -> upstream.description().startedMilliseconds() == key.startedMilliseconds())
                .ifPresent(upstream -> {
                    upstream.replaceResidentModels(models);
                    upstream.setLoadingModels(loadingModels.get(key));
                }));
    }
}
