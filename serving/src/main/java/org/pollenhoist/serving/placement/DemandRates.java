package org.pollenhoist.serving.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.pollenhoist.common.MonotonicTime;

/**
 * How much work is asked of each model over all VMs, in engines that it keeps busy, from what VMs report. Confined to
 * the event loop.
 *
 * <p>Answers demand that moves from one model to the next within seconds, while weights take seconds to load: the rate
 * of the last moments and that of the last several seconds together show where demand is going. Each VM remembers its
 * own demand, so that a VM that begins to order knows that of the whole fleet with the first reports.
 */
public final class DemandRates {

    /** How far ahead demand is expected to go on as it went: about as long as weights take to load. */
    private static final double HORIZON_SECONDS = 8;

    /** Part of the present work that is expected at the least, however fast it falls, and at the most. */
    private static final double LEAST_CHANGE = 0.5;

    private static final double MOST_CHANGE = 2.5;

    /** Added to the time for which a rate was counted, so that the first requests do not count for a whole second's. */
    private static final double LEAST_MEMORY_SECONDS = 0.7;

    /** Age up to which a report counts in full: they come twice a second, and one may be late. */
    private static final double FRESH_SECONDS = 0.7;

    /** Engines that a model keeps busy in the last moments and in the last several seconds. */
    private record Rate(double quick, double slow) {

        private static Rate of(RecentWork work, double memorySeconds) {
            return new Rate(
                    perSecond(work.quickSeconds(), RecentWork.QUICK_HALF_LIFE_SECONDS, memorySeconds),
                    perSecond(work.slowSeconds(), RecentWork.SLOW_HALF_LIFE_SECONDS, memorySeconds));
        }

        /** Corrected for the time before the memory began. */
        private static double perSecond(double seconds, double halfLifeSeconds, double memorySeconds) {
            double remembered = 1 - Math.pow(0.5, (memorySeconds + LEAST_MEMORY_SECONDS) / halfLifeSeconds);
            return seconds * Math.log(2) / halfLifeSeconds / remembered;
        }

        private Rate plus(Rate other) {
            return new Rate(quick + other.quick, slow + other.slow);
        }

        private double expected() {
            double lagSeconds = (RecentWork.SLOW_HALF_LIFE_SECONDS - RecentWork.QUICK_HALF_LIFE_SECONDS) / Math.log(2);
            double ahead = quick + (quick - slow) / lagSeconds * HORIZON_SECONDS;
            return Math.clamp(ahead, quick * LEAST_CHANGE, quick * MOST_CHANGE);
        }
    }

    private record Report(VmDemand demand, MonotonicTime heardAt) {}

    private final Map<String, Report> reportByVm = new HashMap<>();

    /**
     * Takes a VM's report in.
     *
     * @param vm the VM
     * @param demand the demand of its callers
     * @param now the present time
     */
    public void onReport(String vm, VmDemand demand, MonotonicTime now) {
        reportByVm.put(vm, new Report(demand, now));
    }

    /**
     * Returns the work that is to be expected.
     *
     * @param now the present time
     * @return engines that each model keeps busy, as far as its present rate and its trend show
     */
    public Map<String, Double> expectedWork(MonotonicTime now) {
        Map<String, Rate> rates = new HashMap<>();
        for (Report report : reportByVm.values()) {
            double stale = Math.max(0, now.secondsSince(report.heardAt()) - FRESH_SECONDS);
            double memory = report.demand().observationTime().toNanos()
                    / (double) Duration.ofSeconds(1).toNanos();
            report.demand()
                    .workByModel()
                    .forEach((model, work) -> rates.merge(model, Rate.of(work.after(stale), memory), Rate::plus));
        }
        Map<String, Double> expected = new HashMap<>();
        rates.forEach((model, rate) -> expected.put(model, rate.expected()));
        return expected;
    }

    /**
     * Tells for how long demand has been counted.
     *
     * @return the longest memory of any VM, zero where none has reported
     */
    public Duration observationTime() {
        return reportByVm.values().stream()
                .map(report -> report.demand().observationTime())
                .max(Duration::compareTo)
                .orElse(Duration.ZERO);
    }
}
