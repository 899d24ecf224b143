package org.pollenhoist.serving.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.pollenhoist.common.MonotonicTime;

/**
 * Forecasts the work that is requested of each model over all VMs, as the number of engines that it keeps busy. The
 * forecast is based on the reports of the VMs. Confined to the event loop.
 *
 * <p>Demand shifts from one model to another within seconds, while weights take seconds to load. The forecast therefore
 * extrapolates the trend, the difference between the short-term rate and the rate over several seconds. Each VM tracks
 * its own demand, so that a new placement leader knows the demand of the whole fleet from the first reports.
 */
public final class DemandRates {

    /** Time over which the trend is extrapolated: about the time that weights take to load. */
    private static final double HORIZON_SECONDS = 8;

    /** Minimum forecast as a multiple of the present work, however fast the work falls. */
    private static final double MINIMUM_CHANGE = 0.5;

    /** Maximum forecast as a multiple of the present work, however fast the work rises. */
    private static final double MAXIMUM_CHANGE = 2.5;

    /** Added to the observation time of a rate, so that the first requests are not extrapolated to a full second. */
    private static final double OBSERVATION_OFFSET_SECONDS = 0.7;

    /** Age up to which a report counts without decay. Reports arrive twice a second, and one may be late. */
    private static final double FRESH_SECONDS = 0.7;

    /** The number of engines that a model keeps busy, over the last moments and over the last several seconds. */
    private record Rate(double quick, double slow) {

        private static Rate of(RecentWork work, double observedSeconds) {
            return new Rate(
                    perSecond(work.quickSeconds(), RecentWork.QUICK_HALF_LIFE_SECONDS, observedSeconds),
                    perSecond(work.slowSeconds(), RecentWork.SLOW_HALF_LIFE_SECONDS, observedSeconds));
        }

        /** Converts a decaying sum to a rate, corrected for the time before the observation began. */
        private static double perSecond(double seconds, double halfLifeSeconds, double observedSeconds) {
            double observedFraction =
                    1 - Math.pow(0.5, (observedSeconds + OBSERVATION_OFFSET_SECONDS) / halfLifeSeconds);
            return seconds * Math.log(2) / halfLifeSeconds / observedFraction;
        }

        private Rate plus(Rate other) {
            return new Rate(quick + other.quick, slow + other.slow);
        }

        private double expected() {
            double lagSeconds = (RecentWork.SLOW_HALF_LIFE_SECONDS - RecentWork.QUICK_HALF_LIFE_SECONDS) / Math.log(2);
            double extrapolated = quick + (quick - slow) / lagSeconds * HORIZON_SECONDS;
            return Math.clamp(extrapolated, quick * MINIMUM_CHANGE, quick * MAXIMUM_CHANGE);
        }
    }

    private record Report(VmDemand demand, MonotonicTime receivedAt) {}

    private final Map<String, Report> reportByVm = new HashMap<>();

    /**
     * Processes the report of a VM.
     *
     * @param vm the name of the VM
     * @param demand the demand of its callers
     * @param now the present time
     */
    public void onReport(String vm, VmDemand demand, MonotonicTime now) {
        reportByVm.put(vm, new Report(demand, now));
    }

    /**
     * Returns the forecast work.
     *
     * @param now the present time
     * @return the number of engines that each model is expected to keep busy, from its present rate and its trend
     */
    public Map<String, Double> expectedWork(MonotonicTime now) {
        Map<String, Rate> rates = new HashMap<>();
        for (Report report : reportByVm.values()) {
            double decaySeconds = Math.max(0, now.secondsSince(report.receivedAt()) - FRESH_SECONDS);
            double observedSeconds = report.demand().observationTime().toNanos()
                    / (double) Duration.ofSeconds(1).toNanos();
            report.demand()
                    .workByModel()
                    .forEach((model, work) ->
                            rates.merge(model, Rate.of(work.after(decaySeconds), observedSeconds), Rate::plus));
        }
        Map<String, Double> expected = new HashMap<>();
        rates.forEach((model, rate) -> expected.put(model, rate.expected()));
        return expected;
    }

    /**
     * Returns the time for which demand has been recorded.
     *
     * @return the longest observation time of any VM, zero if none has reported
     */
    public Duration observationTime() {
        return reportByVm.values().stream()
                .map(report -> report.demand().observationTime())
                .max(Duration::compareTo)
                .orElse(Duration.ZERO);
    }
}
