package org.pollenhoist.serving.placement;

import java.util.HashMap;
import java.util.Map;
import org.pollenhoist.common.MonotonicTime;

/**
 * How many tokens a second are asked of each model over all VMs, from the totals that the VMs report. Confined to the
 * event loop.
 */
public final class DemandRates {

    /** Time in which half of the memory of earlier demand fades; busy models change within several seconds. */
    private static final double HALF_LIFE_SECONDS = 2;

    private static final double SECONDS_OF_MEMORY = HALF_LIFE_SECONDS / Math.log(2);

    private record Seen(long incarnation, long tokens) {}

    private final Map<String, Seen> seenByVmAndModel = new HashMap<>();
    private final Map<String, Double> fadingTokens = new HashMap<>();
    private MonotonicTime fadedAt;

    /**
     * Creates rates that are all 0.
     *
     * @param now the present time
     */
    public DemandRates(MonotonicTime now) {
        fadedAt = now;
    }

    /**
     * Takes a VM's total in.
     *
     * @param vm the VM
     * @param incarnation its incarnation
     * @param model the model
     * @param tokens tokens that were asked of the model there since the incarnation began
     */
    public void hear(String vm, long incarnation, String model, long tokens) {
        Seen before = seenByVmAndModel.put(vm + ' ' + model, new Seen(incarnation, tokens));
        long added = before != null && before.incarnation == incarnation ? tokens - before.tokens : tokens;
        if (added > 0) {
            fadingTokens.merge(model, (double) added, Double::sum);
        }
    }

    /**
     * Returns the rates.
     *
     * @param now the present time
     * @return tokens a second by model
     */
    public Map<String, Double> rates(MonotonicTime now) {
        double kept = Math.pow(0.5, now.secondsSince(fadedAt) / HALF_LIFE_SECONDS);
        fadedAt = now;
        Map<String, Double> rates = new HashMap<>();
        fadingTokens.replaceAll((model, tokens) -> tokens * kept);
        fadingTokens.forEach((model, tokens) -> rates.put(model, tokens / SECONDS_OF_MEMORY));
        return rates;
    }
}
