package org.pollenhoist.serving.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;

/**
 * Tracks the recent work that this VM's callers request of models. Confined to the event loop.
 *
 * <p>Half of the work of a request is counted when the request arrives, the other half when it is sent to an engine.
 * Most refused requests are retried by their callers and would otherwise be counted twice.
 */
public final class DemandTracker {

    private static final double FRACTION_WHEN_RECEIVED = 0.5;

    private static final double MICROSECONDS_PER_SECOND = 1_000_000;

    /** Work below which a model is removed, in engine seconds: that of a short request after half a minute of decay. */
    private static final double NEGLIGIBLE_SECONDS = 0.000_01;

    private record TimedWork(RecentWork work, MonotonicTime at) {

        private RecentWork at(MonotonicTime now) {
            return work.after(now.secondsSince(at));
        }
    }

    private final Map<String, TimedWork> workByModel = new HashMap<>();
    private Optional<MonotonicTime> firstRequestAt = Optional.empty();

    /**
     * Counts a request that has arrived.
     *
     * @param model the model of the request
     * @param microseconds the time for which it would keep an engine busy
     * @param now the present time
     */
    public void recordReceived(String model, long microseconds, MonotonicTime now) {
        firstRequestAt = firstRequestAt.or(() -> Optional.of(now));
        add(model, microseconds * FRACTION_WHEN_RECEIVED, now);
    }

    /**
     * Counts a request that is sent to an engine for the first time.
     *
     * @param model the model of the request
     * @param microseconds the time for which it keeps an engine busy
     * @param now the present time
     */
    public void recordSent(String model, long microseconds, MonotonicTime now) {
        add(model, microseconds * (1 - FRACTION_WHEN_RECEIVED), now);
    }

    private void add(String model, double microseconds, MonotonicTime now) {
        TimedWork previous = workByModel.getOrDefault(model, new TimedWork(RecentWork.NONE, now));
        workByModel.put(model, new TimedWork(previous.at(now).plus(microseconds / MICROSECONDS_PER_SECOND), now));
    }

    /**
     * Returns the demand at this VM, to be reported to the placement leader.
     *
     * @param now the present time
     * @return the demand
     */
    public VmDemand demand(MonotonicTime now) {
        workByModel.values().removeIf(timed -> timed.at(now).slowSeconds() < NEGLIGIBLE_SECONDS);
        Map<String, RecentWork> work = new HashMap<>();
        workByModel.forEach((model, timed) -> work.put(model, timed.at(now)));
        return new VmDemand(Map.copyOf(work), firstRequestAt.map(now::since).orElse(Duration.ZERO));
    }
}
