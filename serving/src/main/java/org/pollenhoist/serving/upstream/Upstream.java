package org.pollenhoist.serving.upstream;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.request.UpstreamLifetime;
import org.pollenhoist.serving.request.PromptSegment;

/**
 * One lifetime of an upstream as this process sees it: its own description, the load from here and from peers, and how
 * it fared lately. Confined to the event loop.
 */
public final class Upstream {

    /** How long a peer's word on its load counts: one or two digests may be lost. */
    private static final Duration PEER_USE_LIFETIME = Duration.ofMillis(1_300);

    /** How long an upstream that could not be reached gets no new request, unless there is no other. */
    private static final Duration SUSPICION = Duration.ofSeconds(1);

    /** Prompt parts that are remembered as read by an upstream. */
    private static final int REMEMBERED_PARTS = 512;

    private final Map<String, Set<String>> adaptersByModel = new HashMap<>();
    private final Map<String, MonotonicTime> adapterUses = new HashMap<>();
    private final Map<String, LoadSnapshot> peerUses = new HashMap<>();
    private final Map<String, LoadSnapshot> domainUses = new HashMap<>();
    private final Map<String, Integer> readParts = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > REMEMBERED_PARTS;
        }
    };

    private final Map<String, MonotonicTime> loadingModels = new HashMap<>();
    private UpstreamDescription description;
    private boolean hasEnded;
    private boolean hasEndedUnexpectedly;
    private boolean hasAnnouncedLeaving;
    private int running;
    private long tokensAwaitingPrefill;
    private long reservedTokens;
    private final DecayingFailureRate failures;
    private MonotonicTime suspectedUntil;
    private MonotonicTime backOffEnd;
    private MonotonicTime lastActivityAt;

    Upstream(UpstreamDescription description, MonotonicTime now) {
        this.failures = new DecayingFailureRate(now);
        this.suspectedUntil = now;
        this.backOffEnd = now;
        this.lastActivityAt = now;
        describe(description);
    }

    /** Takes a newer description in. What it does not change is kept, since adapters come and go without a word. */
    final void describe(UpstreamDescription newDescription) {
        Set<String> before = description == null ? Set.of() : names(description);
        description = newDescription;
        Set<String> after = names(newDescription);
        for (ResidentModel model : newDescription.models()) {
            if (!before.contains(model.name())) {
                adaptersByModel.computeIfAbsent(model.name(), name -> new HashSet<>(model.adapters()));
            }
        }
        before.stream().filter(name -> !after.contains(name)).forEach(adaptersByModel::remove);
    }

    private static Set<String> names(UpstreamDescription described) {
        Set<String> names = new HashSet<>();
        described.models().forEach(model -> names.add(model.name()));
        return names;
    }

    /** Returns whether the end of the lifetime was unplanned: nobody said before that it leaves. */
    boolean markEnded() {
        hasEndedUnexpectedly = isUsable();
        hasEnded = true;
        return hasEndedUnexpectedly;
    }

    /**
     * Tells whether the lifetime has ended though the upstream did not say that it leaves.
     *
     * @return true once that is known here
     */
    public boolean hasEndedUnexpectedly() {
        return hasEndedUnexpectedly;
    }

    /**
     * Notes that a part of an answer came.
     *
     * @param now the present time
     */
    public void recordActivity(MonotonicTime now) {
        lastActivityAt = now;
    }

    /**
     * Returns when the upstream was last heard here.
     *
     * @return the last part of an answer, or when it became known
     */
    public MonotonicTime lastActivityAt() {
        return lastActivityAt;
    }

    /**
     * Returns what the upstream says of itself.
     *
     * @return the newest description
     */
    public UpstreamDescription description() {
        return description;
    }

    /**
     * Returns which lifetime of the upstream this is.
     *
     * @return the upstream and the start of its process
     */
    public UpstreamLifetime lifetime() {
        return new UpstreamLifetime(UpstreamName.of(description.identifier()), description.startedMilliseconds());
    }

    /**
     * Returns a short number that stands for the upstream's identifier between VMs. Two upstreams hardly ever share
     * one; where they do, the load of one is counted at the other too.
     *
     * @return the number, the same on all VMs
     */
    public int tag() {
        return description.identifier().hashCode();
    }

    /**
     * Tells whether the upstream may get new work.
     *
     * @return false where it is leaving or gone
     */
    public boolean isUsable() {
        return !hasEnded && !hasAnnouncedLeaving && !description.isLeaving();
    }

    /**
     * Notes that the upstream said in an answer that it leaves. That holds for the rest of its lifetime, whatever its
     * entry says.
     *
     * @return whether that was not known yet
     */
    public boolean markLeaving() {
        boolean isNews = !hasAnnouncedLeaving;
        hasAnnouncedLeaving = true;
        return isNews;
    }

    /**
     * Tells whether the upstream said in an answer, to this VM or a peer, that it leaves.
     *
     * @return true once it was said
     */
    public boolean hasAnnouncedLeaving() {
        return hasAnnouncedLeaving;
    }

    /**
     * Notes that the upstream wants nothing from this VM for a while. Of several such times the last one counts.
     *
     * @param until the end of that time
     */
    public void backOffUntil(MonotonicTime until) {
        if (backOffEnd.isBefore(until)) {
            backOffEnd = until;
        }
    }

    /**
     * Tells whether the upstream wants nothing from this VM for now.
     *
     * @param now the present time
     * @return true while nothing may be sent there
     */
    public boolean isBackingOff(MonotonicTime now) {
        return now.isBefore(backOffEnd);
    }

    /**
     * Returns when the upstream may be sent something again.
     *
     * @return the end of the last pause; in the past where there is none
     */
    public MonotonicTime backOffEnd() {
        return backOffEnd;
    }

    /**
     * Tells whether the upstream holds what a request needs.
     *
     * @param model the model
     * @param adapter the adapter of it, empty for none
     * @return true where it is there as far as is known here
     */
    public boolean hasLoaded(String model, String adapter) {
        Set<String> adapters = adaptersByModel.get(model);
        return adapters != null && (adapter.isEmpty() || adapters.contains(adapter));
    }

    /**
     * Returns the models that the upstream holds with their adapters.
     *
     * @return adapters by model, as far as is known here
     */
    public Map<String, Set<String>> residentModels() {
        return adaptersByModel;
    }

    /**
     * Takes over what the upstream holds from one who knows better: the upstream's own report, or the VM that orders.
     *
     * @param holdings adapters by model
     */
    public void replaceResidentModels(Map<String, Set<String>> holdings) {
        adaptersByModel.clear();
        holdings.forEach((model, adapters) -> adaptersByModel.put(model, new HashSet<>(adapters)));
    }

    /**
     * Sets which models are being loaded there.
     *
     * @param expected when each of them is expected
     */
    public void setLoadingModels(Map<String, MonotonicTime> expected) {
        loadingModels.clear();
        loadingModels.putAll(expected);
    }

    /**
     * Returns which models are being loaded there.
     *
     * @return when each of them is expected
     */
    public Map<String, MonotonicTime> loadingModels() {
        return loadingModels;
    }

    /**
     * Notes that the upstream now holds an adapter.
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
     * Notes that the upstream said that it lacks a model or adapter.
     *
     * @param model the model
     * @param adapter the adapter, empty for the model itself
     */
    public void markMissing(String model, String adapter) {
        if (adapter.isEmpty()) {
            adaptersByModel.remove(model);
        } else if (adaptersByModel.containsKey(model)) {
            adaptersByModel.get(model).remove(adapter);
        }
    }

    /**
     * Counts a request that is sent there.
     *
     * @param promptTokens its prompt
     * @param totalTokens prompt and output
     */
    public void begin(long promptTokens, long totalTokens) {
        running++;
        tokensAwaitingPrefill += promptTokens;
        reservedTokens += totalTokens;
    }

    /**
     * Counts the first token of a request.
     *
     * @param promptTokens its prompt
     */
    public void recordFirstToken(long promptTokens) {
        tokensAwaitingPrefill -= promptTokens;
    }

    /**
     * Counts a request that has ended.
     *
     * @param unreadPromptTokens its prompt where no token came, else 0
     * @param totalTokens prompt and output
     */
    public void end(long unreadPromptTokens, long totalTokens) {
        running--;
        tokensAwaitingPrefill -= unreadPromptTokens;
        reservedTokens -= totalTokens;
    }

    /**
     * Takes the load from a peer in.
     *
     * @param peer the peer's name
     * @param use the load
     */
    public void updatePeerLoad(String peer, LoadSnapshot use) {
        peerUses.put(peer, use);
    }

    /**
     * Forgets the load from a peer that gives none any more.
     *
     * @param peer the peer's name
     */
    public void removePeerLoad(String peer) {
        peerUses.remove(peer);
    }

    /**
     * Takes the load from another failure domain in.
     *
     * @param domain the failure domain
     * @param use the load from all its VMs together
     */
    public void updateDomainLoad(String domain, LoadSnapshot use) {
        domainUses.put(domain, use);
    }

    /**
     * Forgets the load from another failure domain that gives none any more.
     *
     * @param domain the failure domain
     */
    public void removeDomainLoad(String domain) {
        domainUses.remove(domain);
    }

    /**
     * Returns the load of all VMs together.
     *
     * @param now the present time
     * @return own counts, and those of the peers and failure domains that were heard lately
     */
    public LoadSnapshot load(MonotonicTime now) {
        return sum(domainLoad(now), domainUses, now);
    }

    /**
     * Returns the load of this VM and of the peers that report to it one by one.
     *
     * @param now the present time
     * @return own counts and those of the peers that were heard lately
     */
    public LoadSnapshot domainLoad(MonotonicTime now) {
        return sum(ownLoad(now), peerUses, now);
    }

    private static LoadSnapshot sum(LoadSnapshot own, Map<String, LoadSnapshot> others, MonotonicTime now) {
        int allRunning = own.running();
        long allUnread = own.tokensAwaitingPrefill();
        long allReserved = own.reservedTokens();
        MonotonicTime oldest = now.plus(PEER_USE_LIFETIME.negated());
        for (LoadSnapshot use : others.values()) {
            if (!use.reportedAt().isBefore(oldest)) {
                allRunning += use.running();
                allUnread += use.tokensAwaitingPrefill();
                allReserved += use.reservedTokens();
            }
        }
        return new LoadSnapshot(allRunning, allUnread, allReserved, now);
    }

    /**
     * Returns the load from this process alone.
     *
     * @param now the present time
     * @return own counts
     */
    public LoadSnapshot ownLoad(MonotonicTime now) {
        return new LoadSnapshot(running, tokensAwaitingPrefill, reservedTokens, now);
    }

    /**
     * Remembers the parts of a prompt that the upstream has read.
     *
     * @param model the model for which it read them
     * @param parts the parts in order
     */
    public void addCachedSegments(String model, List<PromptSegment> parts) {
        parts.forEach(part -> readParts.put(model + ' ' + part.identifier(), part.tokens()));
    }

    /**
     * Estimates how much of a prompt the upstream keeps.
     *
     * @param model the model
     * @param parts the parts of the prompt in order
     * @return tokens of the leading parts that were read there before
     */
    public long cachedTokens(String model, List<PromptSegment> parts) {
        long kept = 0;
        for (PromptSegment part : parts) {
            if (!readParts.containsKey(model + ' ' + part.identifier())) {
                break;
            }
            kept += part.tokens();
        }
        return kept;
    }

    /**
     * Notes that an adapter is used.
     *
     * @param modelAndAdapter the adapter as {@code model/adapter}
     * @param now the present time
     */
    public void recordAdapterUse(String modelAndAdapter, MonotonicTime now) {
        adapterUses.put(modelAndAdapter, now);
    }

    /**
     * Returns when an adapter was last used from here.
     *
     * @param modelAndAdapter the adapter as {@code model/adapter}
     * @return a number that is greater for a later use
     */
    public long lastAdapterUse(String modelAndAdapter) {
        MonotonicTime used = adapterUses.get(modelAndAdapter);
        return used == null ? Long.MIN_VALUE : used.nanoseconds();
    }

    /**
     * Notes how an attempt ended.
     *
     * @param isFailure whether the upstream failed, not the request
     * @param now the present time
     */
    public void record(boolean isFailure, MonotonicTime now) {
        failures.record(isFailure, now);
    }

    /**
     * Notes that the upstream could not be reached or denied to be the one that was meant.
     *
     * @param now the present time
     */
    public void markUnreachable(MonotonicTime now) {
        suspectedUntil = now.plus(SUSPICION);
    }

    /**
     * Tells whether the upstream could not be reached lately.
     *
     * @param now the present time
     * @return true while other upstreams are to be preferred
     */
    public boolean isRecentlyUnreachable(MonotonicTime now) {
        return now.isBefore(suspectedUntil);
    }

    /**
     * Returns the part of recent attempts that failed.
     *
     * @param now the present time
     * @return 0 to 1, pulled towards 0 while few attempts were made
     */
    public double failureRate(MonotonicTime now) {
        return failures.rate(now);
    }
}
