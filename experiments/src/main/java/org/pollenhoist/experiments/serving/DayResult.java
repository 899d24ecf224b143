package org.pollenhoist.experiments.serving;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What callers got on a day.
 *
 * @param attainment worth of the answers against the worth of all requests on time
 * @param worstWindows the same over the two worst windows
 * @param attainmentByClass the same for each class
 * @param servedByClass part of the requests of each class that were answered, on time or late
 * @param servedOfLargest the same for the fifth of each class with the longest prompts
 * @param returnedInVain part of the worth that was refused, came back, and was not served then either
 * @param neverServed models that were asked for four times or more and never served
 * @param storeLoads when loads from the weight store began, in milliseconds from the start of traffic
 * @param windows the attainment in windows of two seconds, in their order
 * @param endings how tries ended, with their counts
 */
record DayResult(
        double attainment,
        double worstWindows,
        Map<String, Double> attainmentByClass,
        Map<String, Double> servedByClass,
        Map<String, Double> servedOfLargest,
        double returnedInVain,
        Set<String> neverServed,
        List<Long> storeLoads,
        List<Double> windows,
        Map<String, Integer> endings) {

    /** Counts the loads that began within the busiest span of a length. */
    int mostLoadsWithin(long milliseconds) {
        return storeLoads.stream()
                .mapToInt(first -> (int) storeLoads.stream()
                        .filter(load -> load >= first && load < first + milliseconds)
                        .count())
                .max()
                .orElse(0);
    }
}
