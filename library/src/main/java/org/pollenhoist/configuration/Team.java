package org.pollenhoist.configuration;

import java.util.Set;
import org.pollenhoist.common.ProfileName;
import org.pollenhoist.common.TeamName;

/**
 * A tenant of the fleet.
 *
 * @param name its name
 * @param tokensPerSecond its rate over the whole fleet, in tokens per second
 * @param burstTokens its burst over the whole fleet, in tokens
 * @param profiles the profiles that its services may pick; the first in name order is the default
 */
public record Team(TeamName name, double tokensPerSecond, double burstTokens, Set<ProfileName> profiles) {

    /** Copies the profiles. */
    public Team {
        profiles = Set.copyOf(profiles);
    }
}
