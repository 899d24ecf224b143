package org.pollenhoist.serving.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;

/**
 * The work that this VM's callers have asked of models lately. Confined to the event loop.
 *
 * <p>A request counts for half when it comes and for the other half when it is sent to an engine: what is refused
 * mostly comes back, and would count twice otherwise.
 */
public final class DemandTracker {

    private static final double SHARE_WHEN_ASKED = 0.5;

    private static final double MICROSECONDS_PER_SECOND = 1_000_000;

    /** Less work than this, in seconds of one engine, is forgotten: that of a short request after half a minute. */
    private static final double FORGOTTEN_SECONDS = 0.000_01;

    private record Remembered(RecentWork work, MonotonicTime at) {

        private RecentWork at(MonotonicTime now) {
            return work.after(now.secondsSince(at));
        }
    }

    private final Map<String, Remembered> workByModel = new HashMap<>();
    private Optional<MonotonicTime> firstWorkAt = Optional.empty();

    /**
     * Counts a request that comes.
     *
     * @param model its model
     * @param microseconds how long it would keep an engine busy
     * @param now the present time
     */
    public void recordReceived(String model, long microseconds, MonotonicTime now) {
        firstWorkAt = firstWorkAt.or(() -> Optional.of(now));
        add(model, microseconds * SHARE_WHEN_ASKED, now);
    }

    /**
     * Counts a request that is sent to an engine for the first time.
     *
     * @param model its model
     * @param microseconds how long it keeps an engine busy
     * @param now the present time
     */
    public void recordSent(String model, long microseconds, MonotonicTime now) {
        add(model, microseconds * (1 - SHARE_WHEN_ASKED), now);
    }

    private void add(String model, double microseconds, MonotonicTime now) {
        Remembered before = workByModel.getOrDefault(model, new Remembered(RecentWork.NONE, now));
        workByModel.put(model, new Remembered(before.at(now).plusNew(microseconds / MICROSECONDS_PER_SECOND), now));
    }

    /**
     * Returns what this VM knows.
     *
     * @param now the present time
     * @return the demand
     */
    public VmDemand demand(MonotonicTime now) {
        workByModel.values().removeIf(remembered -> remembered.at(now).slowSeconds() < FORGOTTEN_SECONDS);
        Map<String, RecentWork> work = new HashMap<>();
        workByModel.forEach((model, remembered) -> work.put(model, remembered.at(now)));
        return new VmDemand(Map.copyOf(work), firstWorkAt.map(now::since).orElse(Duration.ZERO));
    }
}
