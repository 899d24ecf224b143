package org.pollenhoist.serving.upstream;

import java.time.Duration;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.request.UpstreamLifetime;
import org.pollenhoist.serving.limit.RejectionLimit;
import org.pollenhoist.serving.limit.RequestRateLimit;

/**
 * The state of one lifetime of an upstream, as known to this process: its description, the load from this VM and from
 * peers, and the outcome of recent attempts. Confined to the event loop.
 */
public final class Upstream {

    /** How long an upstream that could not be reached receives no new request, unless there is no other. */
    private static final Duration UNREACHABLE_PERIOD = Duration.ofSeconds(1);

    private final Map<String, Set<String>> adaptersByModel = new HashMap<>();
    private final AdapterUses adapterUses = new AdapterUses();
    private final LoadReports peerLoads = new LoadReports();
    private final LoadReports domainLoads = new LoadReports();
    private final KeptPrompts keptPrompts = new KeptPrompts();
    private final UpstreamPace pace = new UpstreamPace();
    private final Map<String, MonotonicTime> loadingModels = new HashMap<>();
    private UpstreamDescription description;
    private boolean hasEnded;
    private boolean hasEndedUnexpectedly;
    private boolean hasAnnouncedLeaving;
    private boolean hasRegisteredLeaving;
    private int running;
    private long tokensAwaitingPrefill;
    private long reservedTokens;
    private final DecayingFailureRate failures;
    private MonotonicTime unreachableUntil;
    private MonotonicTime backOffEnd;
    private final RequestRateLimit rateLimit;
    private final RejectionLimit rejectionLimit;
    private MonotonicTime lastActivityAt;
    private boolean hasResponded;

    Upstream(UpstreamDescription description, MonotonicTime now) {
        this.failures = new DecayingFailureRate(now);
        this.unreachableUntil = now;
        this.backOffEnd = now;
        this.rateLimit = new RequestRateLimit(now);
        this.rejectionLimit = new RejectionLimit(now);
        this.lastActivityAt = now;
        updateDescription(description);
    }

    /**
     * Applies a newer description. The tracked adapters of models that were described before are retained, since
     * adapters are loaded and unloaded without a new description.
     */
    final void updateDescription(UpstreamDescription newDescription) {
        Set<String> before = description == null ? Set.of() : names(description);
        description = newDescription;
        // An upstream that is leaving does not change its mind; an older entry may come back with a copy of the store.
        hasRegisteredLeaving |= newDescription.isLeaving();
        Set<String> after = names(newDescription);
        for (HeldModel model : newDescription.models()) {
            if (!before.contains(model.name())) {
                adaptersByModel.computeIfAbsent(model.name(), name -> new HashSet<>(model.adapters()));
            }
        }
        before.stream().filter(name -> !after.contains(name)).forEach(adaptersByModel::remove);
        keptPrompts.retain(adaptersByModel);
    }

    private static Set<String> names(UpstreamDescription described) {
        Set<String> names = new HashSet<>();
        described.models().forEach(model -> names.add(model.name()));
        return names;
    }

    /** Marks the lifetime as ended; returns whether it ended unexpectedly, without any notice that it is leaving. */
    boolean markEnded() {
        hasEndedUnexpectedly = isUsable();
        hasEnded = true;
        return hasEndedUnexpectedly;
    }

    /**
     * Returns whether the lifetime has ended without any notice that the upstream is leaving.
     *
     * @return true once this VM knows of such an end
     */
    public boolean hasEndedUnexpectedly() {
        return hasEndedUnexpectedly;
    }

    /**
     * Records that data of a response was received.
     *
     * @param now the current time
     */
    public void recordActivity(MonotonicTime now) {
        lastActivityAt = now;
        hasResponded = true;
    }

    /**
     * Returns whether this VM last received data from the upstream within a certain time.
     *
     * @param from the start of this time
     * @param until the end of this time
     * @return false if it received none at all, or none after the start, or some after the end
     */
    public boolean hasLastRespondedBetween(MonotonicTime from, MonotonicTime until) {
        return hasResponded && from.isBefore(lastActivityAt) && lastActivityAt.isBefore(until);
    }

    /**
     * Returns when this VM last received data from the upstream.
     *
     * @return the time of the last response data, or of the registration if there was none
     */
    public MonotonicTime lastActivityAt() {
        return lastActivityAt;
    }

    /**
     * Returns the description of the upstream.
     *
     * @return the latest description
     */
    public UpstreamDescription description() {
        return description;
    }

    /**
     * Returns the identity of this lifetime.
     *
     * @return the name of the upstream and the start time of its process
     */
    public UpstreamLifetime lifetime() {
        return new UpstreamLifetime(UpstreamName.of(description.identifier()), description.startedMilliseconds());
    }

    /**
     * Returns a number that represents the upstream's identifier in messages between VMs. Collisions are very unlikely;
     * in case of a collision, the load of one upstream is also counted for the other.
     *
     * @return the number, which is the same on all VMs
     */
    public int tag() {
        return description.identifier().hashCode();
    }

    /**
     * Returns whether the upstream may receive new requests.
     *
     * @return false if it is leaving or has ended
     */
    public boolean isUsable() {
        return !hasEnded && !hasAnnouncedLeaving && !hasRegisteredLeaving;
    }

    /**
     * Marks the upstream as leaving after it announced so in a response. This applies to the rest of its lifetime, even
     * if its registration states otherwise.
     *
     * @return whether this was not known yet
     */
    public boolean markLeaving() {
        boolean isNew = !hasAnnouncedLeaving;
        hasAnnouncedLeaving = true;
        return isNew;
    }

    /**
     * Returns whether the upstream has announced in a response, to this VM or to a peer, that it is leaving.
     *
     * @return true once it has been announced
     */
    public boolean hasAnnouncedLeaving() {
        return hasAnnouncedLeaving;
    }

    /**
     * Starts or extends the back-off period in which this VM sends nothing to the upstream. Of several periods, the one
     * that ends last applies.
     *
     * @param until the end of the period
     */
    public void backOffUntil(MonotonicTime until) {
        if (backOffEnd.isBefore(until)) {
            backOffEnd = until;
        }
    }

    /**
     * Returns whether the upstream is in a back-off period.
     *
     * @param now the current time
     * @return true while this VM must not send it anything
     */
    public boolean isBackingOff(MonotonicTime now) {
        return now.isBefore(backOffEnd);
    }

    /**
     * Returns the request rate that the upstream accepts.
     *
     * @return the limit as known to this VM, and this VM's share of it
     */
    public RequestRateLimit rateLimit() {
        return rateLimit;
    }

    /**
     * Returns the rejections that the upstream bears.
     *
     * @return the limit as known to this VM, and the bound that it puts on this VM's requests
     */
    public RejectionLimit rejectionLimit() {
        return rejectionLimit;
    }

    /**
     * Returns whether this VM may send the upstream a request now.
     *
     * @param now the current time
     * @return false during a back-off period, while this VM's share of a rate limit is used up, and while it has as
     *     many requests at a brittle upstream as it may
     */
    public boolean acceptsRequests(MonotonicTime now) {
        return !isBackingOff(now) && rateLimit.mayReceive(now) && rejectionLimit.mayReceive(running);
    }

    /**
     * Estimates when this VM may send the upstream a request.
     *
     * @param now the current time
     * @return the time until the back-off period has ended and the limits allow a request
     */
    public Duration timeUntilNextRequest(MonotonicTime now) {
        Duration backingOff = isBackingOff(now) ? backOffEnd.since(now) : Duration.ZERO;
        return Collections.max(
                List.of(rateLimit.timeUntilNext(now), rejectionLimit.timeUntilNext(running), backingOff));
    }

    /**
     * Returns whether the upstream has loaded a model and an adapter.
     *
     * @param model the model
     * @param adapter the adapter of the model; empty if none is needed
     * @return true if this VM knows them to be loaded
     */
    public boolean hasLoaded(String model, String adapter) {
        Set<String> adapters = adaptersByModel.get(model);
        return adapters != null && (adapter.isEmpty() || adapters.contains(adapter));
    }

    /**
     * Returns the models and adapters that the upstream has loaded.
     *
     * @return adapters by model, as known to this VM
     */
    public Map<String, Set<String>> residentModels() {
        return adaptersByModel;
    }

    /**
     * Replaces the resident models and adapters with those from a more reliable source: the upstream's own report or
     * the placement leader.
     *
     * @param residents adapters by model
     */
    public void replaceResidentModels(Map<String, Set<String>> residents) {
        adaptersByModel.clear();
        residents.forEach((model, adapters) -> adaptersByModel.put(model, new HashSet<>(adapters)));
        keptPrompts.retain(adaptersByModel);
    }

    /**
     * Sets the models that the upstream is loading.
     *
     * @param expected the expected completion time of the load, by model
     */
    public void setLoadingModels(Map<String, MonotonicTime> expected) {
        loadingModels.clear();
        loadingModels.putAll(expected);
    }

    /**
     * Returns the models that the upstream is loading.
     *
     * @return the expected completion time of the load, by model
     */
    public Map<String, MonotonicTime> loadingModels() {
        return loadingModels;
    }

    /**
     * Records that the upstream has loaded an adapter.
     *
     * @param model the model
     * @param adapter the adapter
     */
    public void addAdapter(String model, String adapter) {
        adaptersByModel.computeIfPresent(model, (name, adapters) -> {
            adapters.add(adapter);
            return adapters;
        });
    }

    /**
     * Records that a model or adapter is not loaded at the upstream.
     *
     * @param model the model
     * @param adapter the adapter; empty for the model itself
     */
    public void markMissing(String model, String adapter) {
        if (adapter.isEmpty()) {
            adaptersByModel.remove(model);
        } else if (adaptersByModel.containsKey(model)) {
            adaptersByModel.get(model).remove(adapter);
        }
        keptPrompts.retain(adaptersByModel);
    }

    /**
     * Adds the load of a request that is sent to the upstream.
     *
     * @param promptTokens the prompt tokens that need prefill
     * @param totalTokens its prompt and output tokens together
     */
    public void begin(long promptTokens, long totalTokens) {
        running++;
        tokensAwaitingPrefill += promptTokens;
        reservedTokens += totalTokens;
    }

    /**
     * Records the first token of a request: its prompt no longer awaits prefill.
     *
     * @param promptTokens the prompt tokens that needed prefill
     */
    public void recordFirstToken(long promptTokens) {
        tokensAwaitingPrefill -= promptTokens;
    }

    /**
     * Removes the load of a request that has ended.
     *
     * @param pendingPromptTokens the prompt tokens that need prefill if no token was received, otherwise 0
     * @param totalTokens its prompt and output tokens together
     */
    public void end(long pendingPromptTokens, long totalTokens) {
        running--;
        tokensAwaitingPrefill -= pendingPromptTokens;
        reservedTokens -= totalTokens;
    }

    /**
     * Updates the load from a peer.
     *
     * @param peer the peer's name
     * @param load the load
     */
    public void updatePeerLoad(String peer, LoadSnapshot load) {
        peerLoads.put(peer, load);
    }

    /**
     * Removes the load from a peer that no longer reports any.
     *
     * @param peer the peer's name
     */
    public void removePeerLoad(String peer) {
        peerLoads.remove(peer);
    }

    /**
     * Updates the load from another failure domain.
     *
     * @param domain the failure domain
     * @param load the load from all its VMs together
     */
    public void updateDomainLoad(String domain, LoadSnapshot load) {
        domainLoads.put(domain, load);
    }

    /**
     * Removes the load from another failure domain that no longer reports any.
     *
     * @param domain the failure domain
     */
    public void removeDomainLoad(String domain) {
        domainLoads.remove(domain);
    }

    /**
     * Returns the load from all VMs together.
     *
     * @param now the current time
     * @return the load from this VM and that of the valid reports of peers and failure domains
     */
    public LoadSnapshot load(MonotonicTime now) {
        return domainLoads.addedTo(domainLoad(now), now);
    }

    /**
     * Returns the load from this VM and the peers that report to it individually.
     *
     * @param now the current time
     * @return the load from this VM and that of the valid reports of peers
     */
    public LoadSnapshot domainLoad(MonotonicTime now) {
        return peerLoads.addedTo(ownLoad(now), now);
    }

    /**
     * Returns the load from this process alone.
     *
     * @param now the current time
     * @return the load from the requests that this process has sent
     */
    public LoadSnapshot ownLoad(MonotonicTime now) {
        return new LoadSnapshot(running, tokensAwaitingPrefill, reservedTokens, now);
    }

    /**
     * Returns the beginnings of prompts that the upstream is assumed to keep.
     *
     * @return what is assumed from the requests of this VM
     */
    public KeptPrompts keptPrompts() {
        return keptPrompts;
    }

    /** Returns how long work takes there now compared with its usual. */
    public UpstreamPace pace() {
        return pace;
    }

    /** Returns when this VM used which adapters there. */
    public AdapterUses adapterUses() {
        return adapterUses;
    }

    /**
     * Records the outcome of an attempt.
     *
     * @param isFailure whether the attempt failed because of the upstream, not because of the request
     * @param now the current time
     */
    public void record(boolean isFailure, MonotonicTime now) {
        failures.record(isFailure, now);
    }

    /**
     * Records that the upstream could not be reached, or that its address belongs to another process.
     *
     * @param now the current time
     */
    public void markUnreachable(MonotonicTime now) {
        unreachableUntil = now.plus(UNREACHABLE_PERIOD);
    }

    /**
     * Returns whether the upstream was recently unreachable.
     *
     * @param now the current time
     * @return true while other upstreams are preferred
     */
    public boolean isRecentlyUnreachable(MonotonicTime now) {
        return now.isBefore(unreachableUntil);
    }

    /**
     * Returns the fraction of recent attempts that failed.
     *
     * @param now the current time
     * @return 0 to 1, biased towards 0 while there are few attempts
     */
    public double failureRate(MonotonicTime now) {
        return failures.rate(now);
    }
}
