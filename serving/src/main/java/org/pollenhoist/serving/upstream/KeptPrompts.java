package org.pollenhoist.serving.upstream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.request.PromptSegment;

/**
 * The beginnings of prompts that an engine is assumed to keep, from the requests that this VM has sent there. A part is
 * kept for one model and adapter, and is of use only behind the same parts as before. The least recently used parts
 * yield first. Confined to the event loop.
 */
public final class KeptPrompts {

    /** Bounds this process's memory for each engine; an engine of usual size keeps fewer parts. */
    private static final int MAXIMUM_PARTS = 1_024;

    /** Over which time the frequency of use is averaged, in seconds: long enough for a popular part to come again. */
    private static final double FREQUENCY_PERIOD_SECONDS = 60;

    private final Map<Owner, Long> beginnings = new HashMap<>();
    private final LinkedHashMap<Place, Part> leastRecentFirst = new LinkedHashMap<>();
    private long tokens;
    private long lastNumber;

    /** What a prompt is kept for; the adapter is empty if none is used. */
    private record Owner(String model, String adapter) {}

    /**
     * Where a part stands.
     *
     * @param before the number of the part before it, or of the beginning for its owner
     * @param identifier the part's identifier
     */
    private record Place(long before, String identifier) {}

    /**
     * A kept part.
     *
     * @param number its number, which is never given to another part
     * @param owner what it is kept for
     * @param tokens its length in tokens
     * @param usedAt when this VM last used it
     * @param usesPerSecond how often this VM used it then, averaged
     * @param isShared whether it was followed by another part; the last part of a prompt belongs to one session
     */
    private record Part(
            long number, Owner owner, int tokens, MonotonicTime usedAt, double usesPerSecond, boolean isShared) {

        private double unusedSeconds(MonotonicTime now) {
            return Math.max(0, now.secondsSince(usedAt));
        }

        private double usesPerSecond(MonotonicTime now) {
            return usesPerSecond * Math.exp(-unusedSeconds(now) / FREQUENCY_PERIOD_SECONDS);
        }

        private double likelihood(MemoryTurnover turnover, MonotonicTime now) {
            return turnover.likelihood(unusedSeconds(now), isShared ? usesPerSecond(now) : 0);
        }
    }

    KeptPrompts() {}

    /**
     * Records that the engine has read a prompt.
     *
     * @param model the model that read it
     * @param adapter the adapter of the model; empty if none was used
     * @param prompt the segments in order
     * @param now the current time
     */
    public void add(String model, String adapter, List<PromptSegment> prompt, MonotonicTime now) {
        if (prompt.isEmpty()) {
            return;
        }
        Owner owner = new Owner(model, adapter);
        long before = beginnings.computeIfAbsent(owner, absent -> ++lastNumber);
        List<Map.Entry<Place, Part>> used = new ArrayList<>();
        for (PromptSegment segment : prompt) {
            Place place = new Place(before, segment.identifier());
            boolean isFollowed = used.size() < prompt.size() - 1;
            Part part = use(leastRecentFirst.get(place), owner, segment, isFollowed, now);
            used.add(Map.entry(place, part));
            before = part.number();
        }
        // A part outlives those behind it, which are of no use without it.
        used.reversed().forEach(entry -> put(entry.getKey(), entry.getValue()));
        while (leastRecentFirst.size() > MAXIMUM_PARTS) {
            yieldLeastRecent();
        }
    }

    private Part use(Part kept, Owner owner, PromptSegment segment, boolean isFollowed, MonotonicTime now) {
        double oneUse = 1 / FREQUENCY_PERIOD_SECONDS;
        return kept == null
                ? new Part(++lastNumber, owner, segment.tokens(), now, oneUse, isFollowed)
                : new Part(
                        kept.number(),
                        owner,
                        segment.tokens(),
                        now,
                        kept.usesPerSecond(now) + oneUse,
                        kept.isShared() || isFollowed);
    }

    private void put(Place place, Part part) {
        Part replaced = leastRecentFirst.putLast(place, part);
        tokens += part.tokens() - (replaced == null ? 0 : replaced.tokens());
    }

    private void yieldLeastRecent() {
        tokens -= leastRecentFirst.pollFirstEntry().getValue().tokens();
    }

    /**
     * Estimates how many tokens of a prompt the engine need not read again. Parts that have no room beside the running
     * requests yield for good.
     *
     * @param model the model
     * @param adapter the adapter of the model; empty if none is used
     * @param prompt the segments of the prompt in order
     * @param turnover how soon the requests of other VMs displace what the engine keeps
     * @param now the current time
     * @return tokens of the leading segments, each weighted by the likelihood that the engine still keeps it
     */
    public long expectedTokens(
            String model, String adapter, List<PromptSegment> prompt, MemoryTurnover turnover, MonotonicTime now) {
        while (tokens > turnover.roomTokens() && !leastRecentFirst.isEmpty()) {
            yieldLeastRecent();
        }
        Long before = beginnings.get(new Owner(model, adapter));
        double expected = 0;
        for (PromptSegment segment : prompt) {
            Part part = before == null ? null : leastRecentFirst.get(new Place(before, segment.identifier()));
            if (part == null) {
                break;
            }
            expected += segment.tokens() * part.likelihood(turnover, now);
            before = part.number();
        }
        return Math.round(expected);
    }

    /**
     * Drops what was kept for models and adapters that the engine no longer has loaded.
     *
     * @param residents the loaded adapters by model
     */
    void retain(Map<String, Set<String>> residents) {
        boolean isAnyUnloaded = beginnings.keySet().removeIf(owner -> !isResident(owner, residents));
        if (isAnyUnloaded) {
            leastRecentFirst.values().removeIf(part -> !beginnings.containsKey(part.owner()));
            tokens = leastRecentFirst.values().stream().mapToLong(Part::tokens).sum();
        }
    }

    private static boolean isResident(Owner owner, Map<String, Set<String>> residents) {
        Set<String> adapters = residents.get(owner.model());
        return adapters != null && (owner.adapter().isEmpty() || adapters.contains(owner.adapter()));
    }
}
