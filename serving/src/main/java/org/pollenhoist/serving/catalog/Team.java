package org.pollenhoist.serving.catalog;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A team of callers.
 *
 * @param name its name
 * @param keys the keys that stand for it
 * @param priority goes before the route's priority where present
 * @param ratePerSecond tokens a second over all VMs, 0 for no limit
 * @param burst tokens that may be spent at once over all VMs
 * @param isCountedInTokens whether rate and burst are tokens; requests otherwise
 * @param plainTokens what a request without a token count costs
 */
public record Team(
        String name,
        Set<String> keys,
        OptionalInt priority,
        double ratePerSecond,
        double burst,
        boolean isCountedInTokens,
        int plainTokens) {

    /** Copies the keys. */
    public Team {
        keys = Set.copyOf(keys);
    }

    /**
     * Tells whether the team is limited at all.
     *
     * @return true where it has a rate
     */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }

    @Override
    public String toString() {
        return "Team[" + name + "]";
    }
}
