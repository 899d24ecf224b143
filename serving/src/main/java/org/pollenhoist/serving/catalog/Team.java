package org.pollenhoist.serving.catalog;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A team: a customer whose callers present one of its keys.
 *
 * @param name its name
 * @param keys the keys that identify it
 * @param priority the priority of its requests, which overrides the route's priority if present
 * @param ratePerSecond units per second that the team may use over all VMs together, 0 for no limit
 * @param burst units that the team may use at once over all VMs together
 * @param isCountedInTokens whether the unit of rate and burst is a token; otherwise it is a request
 * @param plainTokens number of tokens that a request without a token count is charged
 */
public record Team(
        String name,
        Set<String> keys,
        OptionalInt priority,
        double ratePerSecond,
        double burst,
        boolean isCountedInTokens,
        int plainTokens) {

    /** Creates an immutable copy of the keys. */
    public Team {
        keys = Set.copyOf(keys);
    }

    /**
     * Returns whether the team's use is limited.
     *
     * @return true if the team has a rate
     */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }

    @Override
    public String toString() {
        return "Team[" + name + "]";
    }
}
