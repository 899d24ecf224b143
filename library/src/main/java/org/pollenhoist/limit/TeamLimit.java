package org.pollenhoist.limit;

import org.pollenhoist.configuration.Team;

/**
 * A team's limit over the whole fleet.
 *
 * @param tokensPerSecond rate in tokens per second
 * @param burstTokens burst in tokens
 */
public record TeamLimit(double tokensPerSecond, double burstTokens) {

    /** The limit of a team that is not configured. */
    public static final TeamLimit NONE = new TeamLimit(0, 0);

    /**
     * Returns the limit that operators gave a team.
     *
     * @param team the team
     * @return its limit
     */
    public static TeamLimit of(Team team) {
        return new TeamLimit(team.tokensPerSecond(), team.burstTokens());
    }
}
